#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are Python programs of the standard library in lib2/ and beside each
# case, so that there is nothing to compile: this checks that they can be run here. The cases start the program that
# the build command of deploy/service.toml makes.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in sorted(glob.glob("lib2/*.py") + glob.glob("[4-8]/case.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
    print(path, "can be run")
CHECK
