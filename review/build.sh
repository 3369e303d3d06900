#!/bin/sh
# The stand-ins need the standard library only; this checks that they compile.
cd "$(dirname "$0")" && python3 -c "
import pathlib
for path in sorted(pathlib.Path().rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
"
