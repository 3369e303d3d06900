"""Runs one part of the system as the process that was started."""

import abc
import asyncio
import json
import signal
from typing import Final

import click

SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class Process(abc.ABC):
    """Something that runs until it is asked to stop."""

    @abc.abstractmethod
    async def start(self) -> dict[str, str]:
        """Starts; returns the addresses that it listens on, by use."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Shuts down gracefully."""


async def run(part: Process) -> None:
    """Runs a part until SIGTERM or SIGINT, then shuts it down.

    Once it listens, one line of JSON on standard output gives its addresses.
    """
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        loop.add_signal_handler(number, asked.set)
    click.echo(json.dumps(await part.start()))
    await asked.wait()
    await part.stop()
