#!/usr/bin/env bash
# Checks that this machine can run the cases' stand-ins. They are Python, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
for name in sorted(glob.glob("*.py") + glob.glob("*/*.py")):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print("checked", name)
PY
