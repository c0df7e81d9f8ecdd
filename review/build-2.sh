#!/usr/bin/env bash
# Builds the programs of the second review's scripts into target/review-2, after
# the build of the deploy file. They need the packages of that file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
options="-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/stage"
g++ $options -c review/stage/stage.cpp -o "$out/stage.o"
for source in review/*/drill.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ $options "$source" "$out/stage.o" -lboost_json -o "$out/drill$number"
done
