"""Packer of the program and its libraries into one executable file.

The file is a zip archive after a line that names the interpreter. It runs in
the process that was started, without forking or unpacking.
"""

import argparse
import importlib.metadata
import importlib.util
import pathlib
import py_compile
import re
import tempfile
import zipfile
from collections.abc import Iterator
from typing import Final

INTERPRETER: Final = b'#!/usr/bin/env python3.11\n'
PROGRAM: Final = pathlib.Path('src/plantainridge')
BOOT: Final = pathlib.Path('tools/boot.py')
ROOTS: Final = ('absl-py', 'aiosonic', 'attrs', 'cattrs', 'click',
                'hdrhistogram', 'pycapnp', 'starlette', 'transitions',
                'uvicorn', 'looptime')
# Needed only for building or code generation, or replaced by pure Python.
SKIPPED: Final = frozenset(
    {'setuptools', 'jinja2', 'markupsafe', 'exceptiongroup'})
SKIPPED_PARTS: Final = ('__pycache__', 'tests', 'test')
FILE_MODE: Final = 0o755
_NAME: Final = re.compile(r'[A-Za-z0-9._-]+')


def distributions() -> Iterator[importlib.metadata.Distribution]:
    """Yield the required libraries and their dependencies."""
    pending, seen = list(ROOTS), set(SKIPPED)
    while pending:
        name = pending.pop().lower().replace('_', '-')
        if name in seen:
            continue
        seen.add(name)
        try:
            package = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            continue
        yield package
        for wanted in package.requires or ():
            match = _NAME.match(wanted)
            if match is not None and 'extra ==' not in wanted:
                pending.append(match.group())


def files() -> Iterator[tuple[str, pathlib.Path]]:
    """Yield the name in the archive and the path of each file."""
    yield '__main__.py', BOOT
    for path in sorted(PROGRAM.rglob('*')):
        if path.is_file() and '__pycache__' not in path.parts:
            yield str(path.relative_to(PROGRAM.parent)), path
    for package in distributions():
        for entry in package.files or ():
            path = pathlib.Path(str(package.locate_file(entry)))
            wanted = (path.suffix in ('.py', '.so', '.capnp') or
                      path.name == 'METADATA')
            excluded = str(entry).startswith('..') or any(
                part in SKIPPED_PARTS for part in entry.parts)
            if wanted and not excluded and path.is_file():
                yield str(entry), path


def _compile(path: pathlib.Path, name: str, folder: pathlib.Path) -> bytes:
    target = folder / 'module.pyc'
    py_compile.compile(
        str(path),
        cfile=str(target),
        dfile=name,
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH)
    return target.read_bytes()


def pack(target: pathlib.Path) -> None:
    """Write the executable file."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder, target.open('wb') as raw:
        raw.write(INTERPRETER)
        with zipfile.ZipFile(raw, 'w', zipfile.ZIP_DEFLATED) as archive:
            for name, path in files():
                # The package has Python versions of its compiled modules, which
                # are only faster.
                if path.suffix == '.so' and name.startswith(
                        'charset_normalizer/'):
                    continue
                archive.write(path, name)
                if path.suffix == '.py':
                    archive.writestr(f'{name}c',
                                     _compile(path, name, pathlib.Path(folder)))
    target.chmod(FILE_MODE)


def main() -> None:
    """Parse the command line and write the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('target', type=pathlib.Path)
    pack(parser.parse_args().target)


if __name__ == '__main__':
    main()
