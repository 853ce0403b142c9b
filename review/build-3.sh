#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start beside the deploy file's build. Their stand-ins
# are Python files in support-3/ that need nothing but python3 3.11 and its standard library.
set -euo pipefail
cd "$(dirname "$0")/support-3"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
' ./*.py
