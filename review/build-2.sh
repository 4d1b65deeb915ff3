#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 7 and 8 start. They are Python programs, so building
# them means to check that the interpreter is there and that each file compiles.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sorted(glob.glob("standins/*.py") + glob.glob("*/case.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("compiles:", path)
PYTHON
test -x ../target/bulrushgap || echo "target/bulrushgap is missing: build it as the deploy file says"
