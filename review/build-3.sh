#!/usr/bin/env bash
# Builds what the scripts of review/11 and up start beside the deployed
# programs: their stand-ins are Python and are compiled below target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
python3 - "$out" <<'PY'
import glob, os, py_compile, sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in ["review/stage-3/stage.py", *sorted(glob.glob("review/1[1-5]/*.py"))]:
    name = path.replace("/", "-") + "c"
    py_compile.compile(path, os.path.join(sys.argv[1], name), doraise=True)
PY
