#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are Python programs of the standard
# library alone, so that nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.py [0-9]/*.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
