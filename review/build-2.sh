#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, which are Python of the standard
# library: checks that this machine's Python reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in ["standins_2.py"] + sorted(glob.glob("[4-8]/play.py")):
    ast.parse(open(path).read(), path)
CHECK
