"""Parser of the sheet, a CSV file that declares the intended configuration."""

import csv
import io
from collections.abc import Callable, Iterator
from typing import Final

from plantainridge import config as cfg
from plantainridge import differences, sheet_checks
from plantainridge.differences import Dc, Item
from plantainridge.ids import (DcId, EndpointId, ModelId, ServiceId, StoreId,
                               TeamId, WeightVersion)
from plantainridge.sheet_rows import (EXTRA_CELLS, Row, SheetError,
                                      SheetRejected)

COLUMNS: Final = ('kind', 'name', 'dc', 'address', 'serves', 'version',
                  'adapter', 'max_context_tokens', 'key_hash', 'priority',
                  'first_token_s', 'max_running', 'models', 'repeatable',
                  'checks_keys', 'fencing', 'leaving', 'link_bytes_per_s',
                  'recompute_weight')
END_KIND: Final = 'end'
BYTE_ORDER_MARK: Final = '\ufeff'


def _team(row: Row) -> cfg.Team:
    return cfg.Team(id=TeamId(row.name()),
                    key_hash=row.key_hash('key_hash'),
                    priority=row.integer_at_least('priority', 0, 1),
                    first_token_s=row.number_at_least('first_token_s', 0.001,
                                                      1.5),
                    max_running=row.integer_at_least('max_running', 1, 64),
                    models=frozenset(
                        ModelId(name) for name in row.names('models')))


def _model(row: Row) -> cfg.Model:
    return cfg.Model(id=ModelId(row.name()),
                     version=WeightVersion(row.name('version')),
                     adapter=row.text('adapter'),
                     max_context_tokens=row.integer_at_least(
                         'max_context_tokens', 1, 131_072))


def _service(row: Row) -> cfg.Service:
    return cfg.Service(id=ServiceId(row.name()),
                       repeatable=row.yes_or_no('repeatable', False),
                       checks_keys=row.yes_or_no('checks_keys', False))


def _endpoint(row: Row, kind: cfg.EndpointKind) -> cfg.Endpoint:
    fencing = row.text('fencing') or cfg.FencingMode.CHECKED.value
    if fencing not in [mode.value for mode in cfg.FencingMode]:
        row.add_error('fencing', 'checked or ignored')
        fencing = cfg.FencingMode.CHECKED.value
    return cfg.Endpoint(id=EndpointId(row.name()),
                        dc=DcId(row.required('dc')),
                        kind=kind,
                        serves=row.required('serves'),
                        address=row.address('address'),
                        fencing=cfg.FencingMode(fencing),
                        leaving=row.yes_or_no('leaving', False))


def _store(row: Row) -> cfg.Store:
    return cfg.Store(id=StoreId(row.name()),
                     dc=DcId(row.required('dc')),
                     address=row.address('address'),
                     link_bytes_per_s=row.number_at_least(
                         'link_bytes_per_s', 1, 1.25e9))


def _deployment(row: Row) -> cfg.Deployment:
    return cfg.Deployment(name=row.name(),
                          recompute_weight=row.number_at_least(
                              'recompute_weight', 0, 0))


_ITEM_READERS: Final[dict[str, Callable[[Row], Item]]] = {
    'dc': lambda row: Dc(DcId(row.name())),
    'deployment': _deployment,
    'model': _model,
    'service': _service,
    'team': _team,
    'engine': lambda row: _endpoint(row, cfg.EndpointKind.ENGINE),
    'instance': lambda row: _endpoint(row, cfg.EndpointKind.SERVICE),
    'store': _store,
}
_ENDPOINT_COLUMNS: Final = frozenset(
    ('kind', 'name', 'dc', 'address', 'serves', 'fencing', 'leaving'))
# Columns that a row of each kind uses.
USED_COLUMNS: Final[dict[str, frozenset[str]]] = {
    'dc':
        frozenset(('kind', 'name')),
    'deployment':
        frozenset(('kind', 'name', 'recompute_weight')),
    'model':
        frozenset(('kind', 'name', 'version', 'adapter', 'max_context_tokens')),
    'service':
        frozenset(('kind', 'name', 'repeatable', 'checks_keys')),
    'team':
        frozenset(('kind', 'name', 'key_hash', 'priority', 'first_token_s',
                   'max_running', 'models')),
    'engine':
        _ENDPOINT_COLUMNS,
    'instance':
        _ENDPOINT_COLUMNS,
    'store':
        frozenset(('kind', 'name', 'dc', 'address', 'link_bytes_per_s')),
}


def parse(text: str) -> cfg.Config:
    """Parse a sheet.

    Args:
        text: Text of the CSV file, with commas or semicolons as separators.

    Returns:
        The configuration, with revision -1.

    Raises:
        SheetRejected: The sheet has errors; all of them are listed.
    """
    errors: list[SheetError] = []
    rows = list(_read_rows(text, errors))
    errors += sheet_checks.check(rows)
    if errors:
        raise SheetRejected(sorted(errors, key=lambda error: error.row))
    items = tuple(item for _, item in rows)
    return differences.apply(cfg.EMPTY, differences.Difference(items))


def _read_rows(text: str,
               errors: list[SheetError]) -> Iterator[tuple[Row, Item]]:
    """Yield each row with its item, and append what is wrong to `errors`."""
    reader = _csv_reader(text)
    if tuple(reader.fieldnames or ()) != COLUMNS:
        raise SheetRejected([
            SheetError(1, 'header', ','.join(reader.fieldnames or ()),
                       ','.join(COLUMNS))
        ])
    count, end_seen = 0, False
    for cells in reader:
        row = Row(reader.line_num, cells, errors)
        kind = row.text('kind')
        if not any(row.text(column) for column in COLUMNS):
            continue
        if end_seen:
            row.add_error('kind', 'no row after the row of kind end')
        elif kind == END_KIND:
            end_seen = True
            _check_row_count(row, count)
        elif kind not in _ITEM_READERS:
            count += 1
            row.add_error('kind', ', '.join((*_ITEM_READERS, END_KIND)))
        else:
            count += 1
            row.check_unused_columns(COLUMNS, USED_COLUMNS[kind])
            yield row, _ITEM_READERS[kind](row)
    if not end_seen:
        errors.append(
            SheetError(reader.line_num + 1, 'kind', '',
                       'a last row of kind end; the file is cut short'))


def _csv_reader(text: str) -> 'csv.DictReader[str]':
    text = text.removeprefix(BYTE_ORDER_MARK)
    header = text.partition('\n')[0]
    delimiter = ';' if ';' in header and ',' not in header else ','
    return csv.DictReader(io.StringIO(text, newline=''),
                          delimiter=delimiter,
                          restkey=EXTRA_CELLS)


def _check_row_count(row: Row, count: int) -> None:
    if row.text('name') != str(count):
        row.add_error('name', f'{count}, the number of rows above')
