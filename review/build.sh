#!/usr/bin/env bash
# Builds the programs of the review's scripts into review/bin. They need the
# packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
options="-std=c++20 -O1 -Wall -Wextra -pthread -Iworld"
g++ $options -c world/world.cpp -o bin/world.o
for source in [0-9]/case.cpp; do
    [ -f "$source" ] || continue
    g++ $options "$source" bin/world.o -lboost_json \
        -o "bin/case${source%%/*}"
done
