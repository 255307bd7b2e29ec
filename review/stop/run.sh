#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program="target/review/case-$(basename "$here")"
if [ ! -x "$program" ] || [ ! -x target/bin/poplar-mesh ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
timeout --signal=KILL 110 "$program" --trouble "${TROUBLE:-1}" --record "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
