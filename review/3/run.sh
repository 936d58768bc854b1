#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 no server crashes.
cd "$(dirname "$0")" || exit 2
exec ../bin/lab moved-stream record.txt
