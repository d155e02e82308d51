#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out. Writes record.txt here.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 -B case.py
