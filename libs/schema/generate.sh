#!/usr/bin/env bash
# Regenerates the committed headers from the schemas; needs flatc 2.0.8.
set -eu
cd "$(dirname "$0")"
out=${1:-include/barleyfork/schema}
for schema in settings deployment peer gateway; do
    flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api \
        --object-suffix _record --bfbs-gen-embed \
        -o "$out" "schemas/$schema.fbs"
done
