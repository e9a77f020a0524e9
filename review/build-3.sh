#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are written in Python 3 and
# use its standard library only, so this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path("stand_ins-3").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
