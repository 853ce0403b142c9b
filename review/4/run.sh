#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
command -v python3 > /dev/null && [ -x "$folder/../../target/savoryrelay_edge" ] || exit 2
exec python3 "$folder/case.py"
