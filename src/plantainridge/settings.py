"""Types of command-line options, with their allowed values."""

import functools
import ipaddress
import re
from typing import Any, Final

import click

ENVIRONMENT_PREFIX: Final = 'PLANTAINRIDGE'
MAX_PORT: Final = 65_535
_NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')

# A click option whose help shows its environment variable and its default.
option = functools.partial(click.option, show_envvar=True, show_default=True)


class HostType(click.ParamType[str]):
    """An IPv4 address."""

    name = 'ip'

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> str:
        try:
            return str(ipaddress.IPv4Address(value))
        except ValueError:
            self.fail(
                f'{value!r} is not allowed; allowed: an IPv4 address such as '
                '10.0.0.7', param, ctx)


class AddressType(click.ParamType[str]):
    """An IPv4 address and a port."""

    name = 'ip:port'

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> str:
        host, _, port = str(value).partition(':')
        try:
            ipaddress.IPv4Address(host)
            is_allowed = port.isdecimal() and 1 <= int(port) <= MAX_PORT
        except ValueError:
            is_allowed = False
        if not is_allowed:
            self.fail(
                f'{value!r} is not allowed; allowed: an IPv4 address and a '
                f'port from 1 to {MAX_PORT}, such as 10.0.0.7:8080', param, ctx)
        return str(value)


class NameType(click.ParamType[str]):
    """A name of a VM, a data centre or an endpoint."""

    name = 'name'

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> str:
        if not _NAME_PATTERN.fullmatch(str(value)):
            self.fail(
                f'{value!r} is not allowed; allowed: 1 to 63 letters, digits, '
                'dots, dashes and underscores, starting with a letter or digit',
                param, ctx)
        return str(value)


class NumberType(click.ParamType[float]):
    """A number within bounds.

    Attributes:
        minimum: Least allowed value; if it is an int, so is the option's value.
        maximum: Greatest allowed value.
    """

    name = 'number'

    def __init__(self, minimum: float, maximum: float) -> None:
        self.minimum = minimum
        self.maximum = maximum

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> float:
        number_type = int if isinstance(self.minimum, int) else float
        try:
            number = number_type(value)
            is_allowed = self.minimum <= number <= self.maximum
        except ValueError:
            is_allowed = False
        if not is_allowed:
            self.fail(
                f'{value!r} is not allowed; allowed: '
                f'{"whole " if number_type is int else ""}numbers from '
                f'{self.minimum} to {self.maximum}', param, ctx)
        return number


HOST: Final = HostType()
ADDRESS: Final = AddressType()
NAME: Final = NameType()
PORT: Final = NumberType(0, MAX_PORT)
