"""Checks of a sheet that look at more than one row."""

from collections.abc import Iterable, Iterator
from typing import Final

from plantainridge import config as cfg
from plantainridge.differences import Dc, Item, Table, item_key
from plantainridge.sheet_rows import Row, SheetError

# Share of the teams whose removal must be confirmed.
CONFIRMED_REMOVAL_SHARE: Final = 0.1

Rows = list[tuple[Row, Item]]


def check(rows: Rows) -> list[SheetError]:
    """Returns all faults of duplicates and references."""
    errors = list(_duplicates(rows))
    errors += _references(rows)
    return errors


def removes_too_much(old: cfg.Config, new: cfg.Config) -> bool:
    """Whether so many teams go that an operator must confirm it."""
    gone = sum(1 for team in old.teams if team not in new.teams)
    return gone > CONFIRMED_REMOVAL_SHARE * len(old.teams)


def _error(row: Row, column: str, allowed: str) -> SheetError:
    return SheetError(row.number, column, row.text(column), allowed)


def _duplicates(rows: Rows) -> Iterator[SheetError]:
    seen: dict[object, int] = {}
    for row, item in rows:
        for column, mark, what in _marks(item):
            first = seen.setdefault(mark, row.number)
            if first != row.number:
                yield _error(row, column, f'{what}; row {first} has the same')


def _marks(item: Item) -> Iterator[tuple[str, object, str]]:
    """Yields column, what must stand only once, and that in words."""
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
