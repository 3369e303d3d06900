"""Checks of a sheet that concern more than one row."""

from collections.abc import Iterable, Iterator
from typing import Final

from plantainridge import config as cfg
from plantainridge.differences import Dc, Item, Table, item_key
from plantainridge.sheet_rows import Row, SheetError

# Ratio of removed teams above which the removal must be confirmed.
MAX_UNCONFIRMED_REMOVAL_RATIO: Final = 0.1

Rows = list[tuple[Row, Item]]


def check(rows: Rows) -> list[SheetError]:
    """Return all errors of duplicate values and unknown references."""
    errors = list(_duplicates(rows))
    errors += _references(rows)
    return errors


def needs_removal_confirmation(old: cfg.Config, new: cfg.Config) -> bool:
    """Return whether the removal of teams must be confirmed by an operator."""
    removed_count = sum(1 for team in old.teams if team not in new.teams)
    return removed_count > MAX_UNCONFIRMED_REMOVAL_RATIO * len(old.teams)


def _error(row: Row, column: str, allowed: str) -> SheetError:
    return SheetError(row.number, column, row.text(column), allowed)


def _duplicates(rows: Rows) -> Iterator[SheetError]:
    first_rows: dict[object, int] = {}
    for row, item in rows:
        for column, value, allowed in _unique_values(item):
            first_row = first_rows.setdefault(value, row.number)
            if first_row != row.number:
                yield _error(row, column,
                             f'{allowed}; row {first_row} has the same')


def _unique_values(item: Item) -> Iterator[tuple[str, object, str]]:
    """Yield the column, value and description of each value to be unique."""
    key = item_key(item)
    if isinstance(item, cfg.Deployment):
        yield 'kind', key.table, 'one deployment'
        return
    yield 'name', key, f'a name that no other {key.table.value} has'
    if isinstance(item, cfg.Team):
        yield 'key_hash', item.key_hash, 'a key that no other team has'
    if isinstance(item, cfg.Endpoint):
        yield ('address', (item.address, item.serves),
               'an address that no other row of this model or service has')
    if isinstance(item, cfg.Store):
        yield 'address', (Table.STORE, item.address), 'an address of its own'


def _references(rows: Rows) -> Iterator[SheetError]:
    dcs = {item.id for _, item in rows if isinstance(item, Dc)}
    models = {item.id for _, item in rows if isinstance(item, cfg.Model)}
    services = {item.id for _, item in rows if isinstance(item, cfg.Service)}
    for row, item in rows:
        if isinstance(item, (cfg.Endpoint, cfg.Store)) and item.dc not in dcs:
            yield _error(row, 'dc', _one_of('dc', dcs))
        if isinstance(item, cfg.Team) and not item.models <= models:
            yield _error(row, 'models', _one_of('model', models))
        if not isinstance(item, cfg.Endpoint):
            continue
        if item.kind is cfg.EndpointKind.ENGINE and item.serves not in models:
            yield _error(row, 'serves', _one_of('model', models))
        if (item.kind is cfg.EndpointKind.SERVICE and
                item.serves not in services):
            yield _error(row, 'serves', _one_of('service', services))


def _one_of(kind: str, names: Iterable[str]) -> str:
    listed = ', '.join(sorted(names)) or 'none is declared'
    return f'names of rows of kind {kind}: {listed}'
