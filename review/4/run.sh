#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
