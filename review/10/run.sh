#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without the disruption.
# A signal to this script ends the case and all that it has started.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
../../.venv/bin/python -B case.py &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null; wait "$case_pid"; exit 2' TERM INT HUP
wait "$case_pid"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
