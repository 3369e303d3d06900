"""Entry point of the single-file binary, packed as its `__main__`.

Python cannot import compiled modules from an archive. Each is copied into an
anonymous memory file and loaded from there, so that nothing is unpacked to disk
and no other process is started.
"""

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import tempfile
import zipfile
from collections.abc import Sequence
from types import ModuleType

MIN_VERSION = (3, 11)
# Directories that are in memory on most VMs. The first writable one holds
# temporary files while the message schema is loaded.
MEMORY_FOLDERS = ('/run', '/tmp')


class MemoryFinder(importlib.abc.MetaPathFinder):
    """Finder of the compiled modules of an archive."""

    def __init__(self, archive: str) -> None:
        self.archive = archive
        self.entries: dict[str, str] = {}
        suffix = importlib.machinery.EXTENSION_SUFFIXES[0]
        with zipfile.ZipFile(archive) as archive_file:
            for entry in archive_file.namelist():
                if entry.endswith(suffix):
                    name = entry.removesuffix(suffix).replace('/', '.')
                    self.entries[name] = entry

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of a compiled module, or None if there is none."""
        del path, target
        entry = self.entries.get(fullname)
        if entry is None:
            return None
        with zipfile.ZipFile(self.archive) as archive_file:
            data = archive_file.read(entry)
        # Stays open: the dynamic loader identifies libraries by their path, so
        # the descriptor must not be reused.
        descriptor = os.memfd_create(fullname)
        with open(descriptor, 'wb', closefd=False) as memory:
            memory.write(data)
        origin = f'/proc/self/fd/{descriptor}'
        loader = importlib.machinery.ExtensionFileLoader(fullname, origin)
        return importlib.util.spec_from_file_location(fullname,
                                                      origin,
                                                      loader=loader)


def main() -> None:
    """Run the command line from the archive that was started."""
    if sys.version_info[:2] != MIN_VERSION:
        sys.exit(f'needs Python 3.11, but runs on {sys.version.split()[0]}')
    for folder in MEMORY_FOLDERS:
        if os.access(folder, os.W_OK):
            tempfile.tempdir = folder
            break
    sys.meta_path.insert(0, MemoryFinder(sys.path[0]))
    from plantainridge import cli  # pylint: disable=import-outside-toplevel
    cli.main(prog_name='plantainridge')


if __name__ == '__main__':
    main()
