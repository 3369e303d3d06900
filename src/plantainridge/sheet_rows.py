"""Rows of the sheet: parsing and validation of single cells."""

import ipaddress
import re
from collections.abc import Mapping
from typing import Final

import attrs

# Column under which cells beyond the last column are kept.
EXTRA_CELLS: Final = '(extra)'
MAX_PORT: Final = 65_535
_KEY_HASH: Final = re.compile('[0-9a-f]{64}')
_NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
ALLOWED_NAMES: Final = (
    '1 to 64 letters, digits, dots, hyphens and underscores, '
    'a letter or digit first')


@attrs.frozen
class SheetError:
    """An error in one cell of a sheet.

    Attributes:
        row: Line number; the header is line 1.
        column: Name of the column.
        value: Text of the cell.
        allowed: Description of the allowed values.
    """

    row: int
    column: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (f'row {self.row}, column {self.column}: {self.value!r}; '
                f'allowed: {self.allowed}')


class SheetRejected(Exception):
    """A sheet that has errors.

    Attributes:
        errors: All errors of the sheet.
    """

    def __init__(self, errors: list[SheetError]) -> None:
        super().__init__('\n'.join(str(error) for error in errors))
        self.errors = errors


class Row:
    """One row of a sheet, which collects errors as its cells are read.

    Attributes:
        number: Line number; the header is line 1.
        cells: Texts of the cells by column.
        errors: List shared by all rows, to which errors are added.
    """

    def __init__(self, number: int, cells: Mapping[str, str | None],
                 errors: list[SheetError]) -> None:
        self.number = number
        self.cells = cells
        self.errors = errors

    def add_error(self, column: str, allowed: str) -> None:
        """Add an error in a cell.

        Args:
            column: Name of the column.
            allowed: Description of the allowed values.
        """
        self.errors.append(
            SheetError(self.number, column, self.text(column), allowed))

    def text(self, column: str) -> str:
        """Return a cell without surrounding white space; empty if missing."""
        value = self.cells.get(column)
        return value.strip() if isinstance(value, str) else ''

    def required(self, column: str) -> str:
        """Return a cell that must not be empty."""
        value = self.text(column)
        if not value:
            self.add_error(column, 'any text')
        return value

    def number_at_least(self, column: str, minimum: float,
                        default: float) -> float:
        """Return a finite number, or the default for an empty cell."""
        value = self.text(column)
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            number = float('nan')
        if not number >= minimum or number == float('inf'):
            self.add_error(column, f'a number of at least {minimum:g}')
            return default
        return number

    def yes_or_no(self, column: str, default: bool) -> bool:
        """Return whether a cell is `yes`, or the default for an empty cell."""
        value = self.text(column).lower()
        if not value:
            return default
        if value not in ('yes', 'no'):
            self.add_error(column, 'yes or no')
        return value == 'yes'

    def integer_at_least(self, column: str, minimum: int, default: int) -> int:
        """Return an integer, or the default for an empty cell."""
        value = self.text(column)
        if not value:
            return default
        if not value.isascii() or not value.isdigit() or int(value) < minimum:
            self.add_error(column, f'a whole number of at least {minimum}')
            return default
        return int(value)

    def name(self, column: str = 'name') -> str:
        """Return a name that matches `ALLOWED_NAMES`."""
        value = self.text(column)
        if not _NAME.fullmatch(value):
            self.add_error(column, ALLOWED_NAMES)
        return value

    def names(self, column: str) -> frozenset[str]:
        """Return the names in a cell, which are separated by spaces."""
        return frozenset(self.text(column).split())

    def key_hash(self, column: str) -> str:
        """Return a SHA-256 in lower-case hex digits."""
        value = self.text(column).lower()
        if not _KEY_HASH.fullmatch(value):
            self.add_error(column, 'the SHA-256 of a key, as 64 hex digits')
        return value

    def address(self, column: str) -> str:
        """Return an IP address and port, as `ADDRESS:PORT`."""
        value = self.text(column)
        host, _, port = value.rpartition(':')
        try:
            ipaddress.ip_address(host.strip('[]'))
            valid = port.isdigit() and 0 < int(port) <= MAX_PORT
        except ValueError:
            valid = False
        if not valid:
            self.add_error(column, 'an IP number, a colon and a port')
        return value

    def check_unused_columns(self, columns: tuple[str, ...],
                             used: frozenset[str]) -> None:
        """Add an error for each filled cell that the row's kind does not use.

        Args:
            columns: All columns of the sheet.
            used: Columns that the kind uses.
        """
        for column in columns:
            if column not in used and self.text(column):
                self.add_error(
                    column, f'nothing in a row of kind '
                    f'{self.text("kind")}')
        if self.cells.get(EXTRA_CELLS):
            self.add_error(EXTRA_CELLS, 'no cells beyond the last column')
