#!/usr/bin/env bash
# The stand-ins are in Python 3 (3.11 or later, standard library only) and need no build; this checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.dont_write_bytecode = True; sys.path.insert(0, "lib"); import deployment, runner'
