"""Settings from flags and environment variables, and their allowed values."""

import functools
import ipaddress
import re
from typing import Any, Final

import click

ENVIRONMENT_PREFIX: Final = 'PLANTAINRIDGE'
MAX_PORT: Final = 65_535
_NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')

# An option that shows its environment variable and its default in the help.
option = functools.partial(click.option, show_envvar=True, show_default=True)


class HostType(click.ParamType[str]):
    """An IP number."""

    name = 'ip'

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> str:
        try:
            return str(ipaddress.IPv4Address(value))
        except ValueError:
            self.fail(
                f'{value!r} is not allowed; allowed: an IPv4 number such as '
                '10.0.0.7', param, ctx)


class AddressType(click.ParamType[str]):
    """An IP number and a port."""

    name = 'ip:port'

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> str:
        host, _, port = str(value).partition(':')
        try:
            ipaddress.IPv4Address(host)
            allowed = port.isdecimal() and 1 <= int(port) <= MAX_PORT
        except ValueError:
            allowed = False
        if not allowed:
            self.fail(
                f'{value!r} is not allowed; allowed: an IPv4 number and a '
                f'port from 1 to {MAX_PORT}, such as 10.0.0.7:8080', param, ctx)
        return str(value)


class NameType(click.ParamType[str]):
    """A name of a VM, a data centre or an endpoint."""

    name = 'name'

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> str:
        if not _NAME.fullmatch(str(value)):
            self.fail(
                f'{value!r} is not allowed; allowed: 1 to 63 letters, digits, '
                'dots, dashes and underscores, starting with a letter or digit',
                param, ctx)
        return str(value)


class NumberType(click.ParamType[float]):
    """A number between two others; whole if both of these are."""

    name = 'number'

    def __init__(self, minimum: float, maximum: float) -> None:
        self.minimum = minimum
        self.maximum = maximum

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> float:
        kind = int if isinstance(self.minimum, int) else float
        try:
            number = kind(value)
            allowed = self.minimum <= number <= self.maximum
        except ValueError:
            allowed = False
        if not allowed:
            self.fail(
                f'{value!r} is not allowed; allowed: '
                f'{"whole " if kind is int else ""}numbers from {self.minimum} '
                f'to {self.maximum}', param, ctx)
        return number


HOST: Final = HostType()
ADDRESS: Final = AddressType()
NAME: Final = NameType()
PORT: Final = NumberType(0, MAX_PORT)
