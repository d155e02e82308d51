#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs and need
# no build; this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob, sys, tomllib
assert sys.version_info >= (3, 11)
for path in glob.glob("*/*.py"):
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
[ -x ../target/fulmarrockd ] || { echo "build the deploy file first" >&2; exit 1; }
