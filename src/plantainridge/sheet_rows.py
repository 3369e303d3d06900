"""Rows of the planners' sheet, read cell by cell."""

import ipaddress
import re
from collections.abc import Mapping
from typing import Final

import attrs

# Column under which cells beyond the last one are kept.
EXTRA_CELLS: Final = '(extra)'
MAX_PORT: Final = 65_535
_KEY_HASH: Final = re.compile('[0-9a-f]{64}')
_NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
NAME_ALLOWED: Final = (
    '1 to 64 letters, digits, dots, hyphens and underscores, '
    'a letter or digit first')


@attrs.frozen
class SheetError:
    """One fault of a sheet.

    Attributes:
        row: Line number of the fault, from 1 for the header.
        column: Name of the column.
        value: What stands there.
        allowed: What may stand there.
    """

    row: int
    column: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (f'row {self.row}, column {self.column}: {self.value!r}; '
                f'allowed: {self.allowed}')


class SheetRejected(Exception):
    """A sheet that has faults; `errors` lists them all."""

    def __init__(self, errors: list[SheetError]) -> None:
        super().__init__('\n'.join(str(error) for error in errors))
        self.errors = errors


class Row:
    """One row, read cell by cell; faults are collected."""

    def __init__(self, number: int, cells: Mapping[str, str | None],
                 errors: list[SheetError]) -> None:
        self.number = number
        self.cells = cells
        self.errors = errors

    def fault(self, column: str, allowed: str) -> None:
        """Notes a fault of a cell."""
        self.errors.append(
            SheetError(self.number, column, self.text(column), allowed))

    def text(self, column: str) -> str:
        """Returns a cell without the space around it."""
        value = self.cells.get(column)
        return value.strip() if isinstance(value, str) else ''

    def required(self, column: str) -> str:
        """Returns a cell that must not be empty."""
        value = self.text(column)
        if not value:
            self.fault(column, 'any text')
        return value

    def number_at_least(self, column: str, least: float,
                        default: float) -> float:
        """Returns a number, or the default for an empty cell."""
        value = self.text(column)
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            number = float('nan')
        if not number >= least or number == float('inf'):
            self.fault(column, f'a number of at least {least:g}')
            return default
        return number

    def yes(self, column: str, default: bool) -> bool:
        """Returns whether a cell says yes."""
        value = self.text(column).lower()
        if not value:
            return default
        if value not in ('yes', 'no'):
            self.fault(column, 'yes or no')
        return value == 'yes'

    def whole_number_at_least(self, column: str, least: int,
                              default: int) -> int:
        """Returns a whole number, or the default for an empty cell."""
        value = self.text(column)
        if not value:
            return default
        if not value.isascii() or not value.isdigit() or int(value) < least:
            self.fault(column, f'a whole number of at least {least}')
            return default
        return int(value)

    def name(self, column: str = 'name') -> str:
        """Returns a name."""
        value = self.text(column)
        if not _NAME.fullmatch(value):
            self.fault(column, NAME_ALLOWED)
        return value

    def names(self, column: str) -> frozenset[str]:
        """Returns a list of names, separated by spaces."""
        return frozenset(self.text(column).split())

    def key_hash(self, column: str) -> str:
        """Returns a hex SHA-256."""
        value = self.text(column).lower()
        if not _KEY_HASH.fullmatch(value):
            self.fault(column, 'the SHA-256 of a key, as 64 hex digits')
        return value

    def address(self, column: str) -> str:
        """Returns an IP number and port."""
        value = self.text(column)
        host, _, port = value.rpartition(':')
        try:
            ipaddress.ip_address(host.strip('[]'))
            valid = port.isdigit() and 0 < int(port) <= MAX_PORT
        except ValueError:
            valid = False
        if not valid:
            self.fault(column, 'an IP number, a colon and a port')
        return value

    def check_unused(self, columns: tuple[str, ...],
                     used: frozenset[str]) -> None:
        """Notes a fault for each filled cell that the kind does not use."""
        for column in columns:
            if column not in used and self.text(column):
                self.fault(column, f'nothing in a row of kind '
                           f'{self.text("kind")}')
        if self.cells.get(EXTRA_CELLS):
            self.fault(EXTRA_CELLS, 'no cells beyond the last column')
