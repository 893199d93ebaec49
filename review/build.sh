#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can run. They are Python programs that use the
# standard library only, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python=$(command -v /usr/bin/python3 || command -v python3)
for file in standin/*.py [0-9]/*.py; do
  "$python" -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
