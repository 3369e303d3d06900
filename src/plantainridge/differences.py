"""Differences between configurations: computing, applying, describing them."""

import enum
from collections.abc import Iterator, Mapping
from typing import Any, Final

import attrs

from plantainridge import config as cfg
from plantainridge.ids import DcId


class Table(enum.Enum):
    """A table of a configuration's items."""

    DC = 'dc'
    DEPLOYMENT = 'deployment'
    MODEL = 'model'
    SERVICE = 'service'
    TEAM = 'team'
    ENDPOINT = 'endpoint'
    STORE = 'store'


@attrs.frozen
class Dc:
    """A data centre as an item of the table `DC`."""

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
TABLE_BY_TYPE: Final = {kind: table for table, kind in ITEM_TYPES.items()}

# Attributes of `Config` that map names to a table's items.
_CONFIG_ATTRIBUTES: Final[dict[Table, str]] = {
    Table.MODEL: 'models',
    Table.SERVICE: 'services',
    Table.TEAM: 'teams',
    Table.ENDPOINT: 'endpoints',
    Table.STORE: 'stores',
}


@attrs.frozen
class ItemKey:
    """Table and name that identify an item."""

    table: Table
    name: str


@attrs.frozen
class Difference:
    """Items to put into and to drop from a configuration.

    Attributes:
        puts: Items to add, or to replace those of the same name with.
        drops: Keys of the items to remove.
    """

    puts: tuple[Item, ...] = ()
    drops: tuple[ItemKey, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether nothing changes."""
        return not self.puts and not self.drops


def item_key(item: Item) -> ItemKey:
    """Return the table and name of an item."""
    name = item.name if isinstance(item, cfg.Deployment) else item.id
    return ItemKey(TABLE_BY_TYPE[type(item)], name)


def items(config: cfg.Config) -> Iterator[Item]:
    """Yield all items of a configuration, small tables first."""
    for dc in sorted(config.dcs):
        yield Dc(dc)
    if config.deployment.name:
        yield config.deployment
    for table in Table:
        if table in _CONFIG_ATTRIBUTES:
            yield from items_by_name(config, table).values()


def items_by_name(config: cfg.Config, table: Table) -> Mapping[Any, Any]:
    """Return the items of a table by name.

    Args:
        config: The configuration.
        table: Any table except `DC` and `DEPLOYMENT`.
    """
    found: Mapping[Any, Any] = getattr(config, _CONFIG_ATTRIBUTES[table])
    return found


def between(old: cfg.Config, new: cfg.Config) -> Difference:
    """Return the difference that turns one configuration into another."""
    puts: list[Item] = [Dc(dc) for dc in sorted(new.dcs - old.dcs)]
    drops = [ItemKey(Table.DC, dc) for dc in sorted(old.dcs - new.dcs)]
    if new.deployment != old.deployment:
        puts.append(new.deployment)
    for table in _CONFIG_ATTRIBUTES:
        before, after = items_by_name(old, table), items_by_name(new, table)
        puts += [
            item for name, item in after.items() if before.get(name) != item
        ]
        drops += [ItemKey(table, name) for name in before if name not in after]
    return Difference(tuple(puts), tuple(drops))


def apply(config: cfg.Config, difference: Difference) -> cfg.Config:
    """Return a configuration with a difference applied to it.

    Only tables that change are copied; the argument is not modified.
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
        _copied_table(config, changed,
                      TABLE_BY_TYPE[type(item)])[item.id] = item


def _drop(config: cfg.Config, changed: dict[str, Any], key: ItemKey) -> None:
    if key.table is Table.DC:
        changed['dcs'] = changed.get('dcs', config.dcs) - {key.name}
    elif key.table is Table.DEPLOYMENT:
        changed['deployment'] = cfg.EMPTY.deployment
    else:
        _copied_table(config, changed, key.table).pop(key.name, None)


def _copied_table(config: cfg.Config, changed: dict[str, Any],
                  table: Table) -> dict[Any, Any]:
    attribute = _CONFIG_ATTRIBUTES[table]
    if attribute not in changed:
        changed[attribute] = dict(items_by_name(config, table))
    items_copy: dict[Any, Any] = changed[attribute]
    return items_copy


def describe(old: cfg.Config, difference: Difference) -> Iterator[str]:
    """Yield a line of text for each item added or removed and field changed.

    Args:
        old: The configuration before the change.
        difference: Items to put and to drop.
    """
    for key in difference.drops:
        yield f'remove {key.table.value} {key.name}'
    for item in difference.puts:
        key = item_key(item)
        before = _find_item(old, key)
        if before is None:
            yield f'add {key.table.value} {key.name}'
            continue
        for field in attrs.fields(type(item)):
            old_value, new_value = (getattr(before, field.name),
                                    getattr(item, field.name))
            if old_value != new_value:
                yield (f'change {key.table.value} {key.name}: {field.name} '
                       f'from {_format(old_value)} to {_format(new_value)}')


def _find_item(config: cfg.Config, key: ItemKey) -> Item | None:
    if key.table is Table.DC:
        return None
    if key.table is Table.DEPLOYMENT:
        return config.deployment if config.deployment.name else None
    found: Item | None = items_by_name(config, key.table).get(key.name)
    return found


def _format(value: object) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, frozenset):
        return ' '.join(sorted(value)) or 'nothing'
    return str(value) if value != '' else 'nothing'
