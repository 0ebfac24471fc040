#!/bin/sh
# The stand-ins of the scripts are Python files without dependencies: checks that they compile.
cd "$(dirname "$0")" && exec python3 -c '
import pathlib
for path in pathlib.Path(".").rglob("*.py"):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
