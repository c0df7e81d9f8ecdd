#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
[ -x ../../target/tools/barleyfork_gateway/barleyfork_gateway ] || exit 2
exec python3 -B case.py
