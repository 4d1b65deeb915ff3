#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m py_compile standins-3/*.py 1[1-5]/*.py
