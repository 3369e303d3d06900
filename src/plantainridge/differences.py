"""What changes from one configuration to another."""

import enum
from collections.abc import Iterator, Mapping
from typing import Any, Final

import attrs

from plantainridge import config as cfg
from plantainridge.ids import DcId


class Table(enum.Enum):
    """The parts of a configuration."""

    DC = 'dc'
    DEPLOYMENT = 'deployment'
    MODEL = 'model'
    SERVICE = 'service'
    TEAM = 'team'
    ENDPOINT = 'endpoint'
    STORE = 'store'


@attrs.frozen
class Dc:
    """A data centre as an item of its own."""

    id: DcId


Item = (cfg.Team | cfg.Model | cfg.Service | cfg.Endpoint | cfg.Store |
        cfg.Deployment | Dc)

ITEM_TYPES: Final[dict[Table, type[Any]]] = {
    Table.DC: Dc,
    Table.DEPLOYMENT: cfg.Deployment,
    Table.MODEL: cfg.Model,
    Table.SERVICE: cfg.Service,
    Table.TEAM: cfg.Team,
    Table.ENDPOINT: cfg.Endpoint,
    Table.STORE: cfg.Store,
}
TABLE_OF: Final = {kind: table for table, kind in ITEM_TYPES.items()}

# Attribute of `Config` that maps names to a table's items.
_MAPPINGS: Final[dict[Table, str]] = {
    Table.MODEL: 'models',
    Table.SERVICE: 'services',
    Table.TEAM: 'teams',
    Table.ENDPOINT: 'endpoints',
    Table.STORE: 'stores',
}


@attrs.frozen
class ItemKey:
    """Names one item."""

    table: Table
    name: str


@attrs.frozen
class Difference:
    """Items to put and to drop.

    Attributes:
        puts: New items, and items that replace those of the same name.
        drops: Items to take away.
    """

    puts: tuple[Item, ...] = ()
    drops: tuple[ItemKey, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether nothing changes."""
        return not self.puts and not self.drops


def key_of(item: Item) -> ItemKey:
    """Returns an item's table and name."""
    name = item.name if isinstance(item, cfg.Deployment) else item.id
    return ItemKey(TABLE_OF[type(item)], name)


def items(config: cfg.Config) -> Iterator[Item]:
    """Yields all items of a configuration, small tables first."""
    for dc in sorted(config.dcs):
        yield Dc(dc)
    if config.deployment.name:
        yield config.deployment
    for table in Table:
        if table in _MAPPINGS:
            yield from mapping(config, table).values()


def mapping(config: cfg.Config, table: Table) -> Mapping[Any, Any]:
    """Returns a table's items by name."""
    found: Mapping[Any, Any] = getattr(config, _MAPPINGS[table])
    return found


def between(old: cfg.Config, new: cfg.Config) -> Difference:
    """Returns what turns one configuration into another."""
    puts: list[Item] = [Dc(dc) for dc in sorted(new.dcs - old.dcs)]
    drops = [ItemKey(Table.DC, dc) for dc in sorted(old.dcs - new.dcs)]
    if new.deployment != old.deployment:
        puts.append(new.deployment)
    for table in _MAPPINGS:
        before, after = mapping(old, table), mapping(new, table)
        puts += [
            item for name, item in after.items() if before.get(name) != item
        ]
        drops += [ItemKey(table, name) for name in before if name not in after]
    return Difference(tuple(puts), tuple(drops))


def apply(config: cfg.Config, difference: Difference) -> cfg.Config:
    """Returns a configuration with a difference made to it.

    Only tables that change are copied; the argument stays as it is.
    """
    changed: dict[str, Any] = {}
    for item in difference.puts:
        _put(config, changed, item)
    for key in difference.drops:
        _drop(config, changed, key)
    return attrs.evolve(config, **changed) if changed else config


def _put(config: cfg.Config, changed: dict[str, Any], item: Item) -> None:
    if isinstance(item, Dc):
        changed['dcs'] = changed.get('dcs', config.dcs) | {item.id}
    elif isinstance(item, cfg.Deployment):
        changed['deployment'] = item
    else:
        _copy(config, changed, TABLE_OF[type(item)])[item.id] = item


def _drop(config: cfg.Config, changed: dict[str, Any], key: ItemKey) -> None:
    if key.table is Table.DC:
        changed['dcs'] = changed.get('dcs', config.dcs) - {key.name}
    elif key.table is Table.DEPLOYMENT:
        changed['deployment'] = cfg.EMPTY.deployment
    else:
        _copy(config, changed, key.table).pop(key.name, None)


def _copy(config: cfg.Config, changed: dict[str, Any],
          table: Table) -> dict[Any, Any]:
    attribute = _MAPPINGS[table]
    if attribute not in changed:
        changed[attribute] = dict(mapping(config, table))
    copied: dict[Any, Any] = changed[attribute]
    return copied


def in_words(old: cfg.Config, difference: Difference) -> Iterator[str]:
    """Yields one line for each item that changes."""
    for key in difference.drops:
        yield f'remove {key.table.value} {key.name}'
    for item in difference.puts:
        key = key_of(item)
        before = _find(old, key)
        if before is None:
            yield f'add {key.table.value} {key.name}'
            continue
        for field in attrs.fields(type(item)):
            was, will = getattr(before, field.name), getattr(item, field.name)
            if was != will:
                yield (f'change {key.table.value} {key.name}: {field.name} '
                       f'from {_word(was)} to {_word(will)}')


def _find(config: cfg.Config, key: ItemKey) -> Item | None:
    if key.table is Table.DC:
        return None
    if key.table is Table.DEPLOYMENT:
        return config.deployment if config.deployment.name else None
    found: Item | None = mapping(config, key.table).get(key.name)
    return found


def _word(value: object) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, frozenset):
        return ' '.join(sorted(value)) or 'nothing'
    return str(value) if value != '' else 'nothing'
