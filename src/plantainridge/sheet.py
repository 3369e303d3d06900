"""The planners' sheet: CSV rows that declare the day's intended state."""

import csv
import io
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from plantainridge import config as cfg
from plantainridge.ids import (DcId, EndpointId, ModelId, ServiceId, StoreId,
                               TeamId, WeightVersion)

COLUMNS: Final = ('kind', 'name', 'dc', 'address', 'serves', 'version',
                  'adapter', 'max_context_tokens', 'key_hash', 'priority',
                  'first_token_s', 'max_running', 'models', 'repeatable',
                  'checks_keys', 'fencing', 'leaving', 'link_bytes_per_s',
                  'recompute_weight')
END_KIND: Final = 'end'
LIST_SEPARATOR: Final = ' '


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


class _Row:
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
        return (self.cells.get(column) or '').strip()

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


def _team(row: _Row) -> cfg.Team:
    return cfg.Team(id=TeamId(row.required('name')),
                    key_hash=row.required('key_hash'),
                    priority=int(row.number_at_least('priority', 0, 1)),
                    first_token_s=row.number_at_least('first_token_s', 0.001,
                                                      1.5),
                    max_running=int(row.number_at_least('max_running', 1, 64)),
                    models=frozenset(
                        ModelId(name)
                        for name in row.text('models').split(LIST_SEPARATOR)
                        if name))


def _model(row: _Row) -> cfg.Model:
    return cfg.Model(id=ModelId(row.required('name')),
                     version=WeightVersion(row.required('version')),
                     adapter=row.text('adapter'),
                     max_context_tokens=int(
                         row.number_at_least('max_context_tokens', 1, 131_072)))


def _service(row: _Row) -> cfg.Service:
    return cfg.Service(id=ServiceId(row.required('name')),
                       repeatable=row.yes('repeatable', False),
                       checks_keys=row.yes('checks_keys', False))


def _endpoint(row: _Row, kind: cfg.EndpointKind) -> cfg.Endpoint:
    fencing = row.text('fencing') or cfg.FencingMode.CHECKED.value
    if fencing not in [mode.value for mode in cfg.FencingMode]:
        row.fault('fencing', 'checked or ignored')
        fencing = cfg.FencingMode.CHECKED.value
    return cfg.Endpoint(id=EndpointId(row.required('name')),
                        dc=DcId(row.required('dc')),
                        kind=kind,
                        serves=row.required('serves'),
                        address=row.required('address'),
                        fencing=cfg.FencingMode(fencing),
                        leaving=row.yes('leaving', False))


def _store(row: _Row) -> cfg.Store:
    return cfg.Store(id=StoreId(row.required('name')),
                     dc=DcId(row.required('dc')),
                     address=row.required('address'),
                     link_bytes_per_s=row.number_at_least(
                         'link_bytes_per_s', 1, 1.25e9))


def _deployment(row: _Row) -> cfg.Deployment:
    return cfg.Deployment(name=row.required('name'),
                          recompute_weight=row.number_at_least(
                              'recompute_weight', 0, 0))


Item = (cfg.Team | cfg.Model | cfg.Service | cfg.Endpoint | cfg.Store |
        cfg.Deployment | DcId)

_READERS: Final[dict[str, Callable[[_Row], Item]]] = {
    'team': _team,
    'model': _model,
    'service': _service,
    'engine': lambda row: _endpoint(row, cfg.EndpointKind.ENGINE),
    'instance': lambda row: _endpoint(row, cfg.EndpointKind.SERVICE),
    'store': _store,
    'deployment': _deployment,
    'dc': lambda row: DcId(row.required('name')),
}


def parse(text: str) -> cfg.Config:
    """Reads a sheet.

    Args:
        text: The CSV file's text.

    Returns:
        The configuration, with no revision.

    Raises:
        SheetRejected: The sheet has faults; all of them are listed.
    """
    errors: list[SheetError] = []
    reader = csv.DictReader(io.StringIO(text))
    if tuple(reader.fieldnames or ()) != COLUMNS:
        raise SheetRejected([
            SheetError(1, 'header', ','.join(reader.fieldnames or ()),
                       ','.join(COLUMNS))
        ])
    items: list[Item] = []
    ended = False
    for number, cells in enumerate(reader, start=2):
        row = _Row(number, cells, errors)
        kind = row.text('kind')
        if kind == END_KIND:
            ended = True
            if row.text('name') != str(len(items)):
                row.fault('name', f'{len(items)}, the number of rows above')
        elif kind in _READERS:
            items.append(_READERS[kind](row))
        else:
            row.fault('kind', ', '.join(_READERS))
    if not ended:
        errors.append(
            SheetError(reader.line_num + 1, 'kind', '',
                       'a last row of kind end; the file is cut short'))
    if errors:
        raise SheetRejected(errors)
    return _assemble(items)


def _assemble(items: list[Item]) -> cfg.Config:
    deployments = [item for item in items if isinstance(item, cfg.Deployment)]
    return cfg.Config(
        revision=-1,
        deployment=deployments[-1] if deployments else cfg.EMPTY.deployment,
        teams={i.id: i for i in items if isinstance(i, cfg.Team)},
        models={i.id: i for i in items if isinstance(i, cfg.Model)},
        services={i.id: i for i in items if isinstance(i, cfg.Service)},
        endpoints={i.id: i for i in items if isinstance(i, cfg.Endpoint)},
        stores={i.id: i for i in items if isinstance(i, cfg.Store)},
        dcs=frozenset(DcId(i) for i in items if isinstance(i, str)))
