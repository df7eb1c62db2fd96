#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python modules that need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for file in common/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
