#!/usr/bin/env bash
# Plays this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
python=.venv/bin/python
test -x "$python" || python=python3
folder=$(basename "$(dirname "$0")")
exec "$python" "review/$folder/case.py"
