#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs without dependencies; this
# checks that the interpreter can run them.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || {
    echo "the cases need Python 3.9 or later" >&2
    exit 1
}
PYTHONDONTWRITEBYTECODE=1 python3 - common-2/*.py */case.py <<'CHECK'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
