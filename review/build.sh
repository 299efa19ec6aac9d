#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins (review/standins.py) are Python with its standard library alone, so
# there is nothing to compile: this checks that they can be run.
set -eu
cd "$(dirname "$0")/.."
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - <<'P'
import ast, sys
assert sys.version_info >= (3, 9), "python3 is older than 3.9"
import glob
for path in ["review/standins.py", *glob.glob("review/*/case.py")]:
    ast.parse(open(path).read(), path)
P
