"""Entry point of the gateway; imports only the modules that it needs."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

# pylint: disable-next=wrong-import-position
from plantainridge.platform.adapter import main  # noqa: E402

if __name__ == '__main__':
    main()
