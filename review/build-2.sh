#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are scripts for the standard library
# alone, and start none of the project's own stand-ins: there is nothing to install. They are compiled, and nothing is kept.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -B -c '
import pathlib
for path in ("rig_2.py", "bad_clients.py", *sorted(map(str, pathlib.Path().glob("[0-9]*/case.py")))):
    if path.split("/")[0] not in ("1", "2", "3", "4", "5"):
        compile(pathlib.Path(path).read_text(), path, "exec")
'
