#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/play.py"
