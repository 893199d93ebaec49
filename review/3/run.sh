#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
export PYTHONDONTWRITEBYTECODE=1 TROUBLE="${TROUBLE:-1}"
python=$(command -v /usr/bin/python3 || command -v python3) || exit 2
exec "$python" "$(dirname "$0")/case.py"
