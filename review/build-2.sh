#!/usr/bin/env bash
# The stand-ins of the second review are Python programs that use its standard
# library only, so that there is nothing to build. This checks that they can be
# read. The project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - stand_ins-2/*.py $(grep -l stand_ins-2 ./*/case.py) <<'CHECK'
import ast
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
