#!/bin/sh
# Prepares the stand-ins that the scripts of cases 11 to 15 start. They are written in Python and need nothing
# beyond its standard library, so this only checks that they can be compiled.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob

for path in sorted(glob.glob("common-3/*.py") + glob.glob("1[1-5]/*.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
