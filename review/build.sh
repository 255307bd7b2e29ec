#!/usr/bin/env bash
# Builds the programs of the cases, with all their stand-ins, into target/review/. The build of the deploy file comes
# first: the scripts start its program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/scenario.cpp review/stop/scenario.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$number"
done
