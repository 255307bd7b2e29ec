#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stage-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-3 -j "$(nproc)" >/dev/null
