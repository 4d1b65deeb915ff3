#!/usr/bin/env bash
# Prepares the stand-ins of the cases: they are Python and need no build, so this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing (scripts/setup lists it)"; exit 2; }
python3 -B - stand/stand.py [0-9]/case.py <<'PY'
import sys
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
PY
