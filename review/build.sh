#!/usr/bin/env bash
# The stand-ins are Python programs (python3, standard library only). Nothing has to be built;
# this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile support/world.py [1-5]/case.py
rm -rf support/__pycache__ [1-5]/__pycache__
