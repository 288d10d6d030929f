#!/bin/sh
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
exec python3 "$(dirname "$0")/run.py"
