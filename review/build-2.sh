#!/bin/sh
# The stand-ins need the standard library only; this checks that they compile.
cd "$(dirname "$0")" && python3 - <<'PY'
import pathlib
for path in [pathlib.Path('site2.py'), pathlib.Path('streams2.py'), *(pathlib.Path(f'{n}/case.py') for n in range(6, 11))]:
    if path.exists():
        compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PY
