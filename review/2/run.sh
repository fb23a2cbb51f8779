#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
