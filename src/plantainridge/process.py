"""Servers that run as the current process until they are signalled to stop."""

import abc
import asyncio
import json
import signal
from typing import Final

import click

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class Process(abc.ABC):
    """A server that runs until it is requested to stop."""

    @abc.abstractmethod
    async def start(self) -> dict[str, str]:
        """Start, and return the addresses that it listens on by their use."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Shut down gracefully."""


async def run(process: Process) -> None:
    """Run a process until SIGTERM or SIGINT, then shut it down.

    Once it listens, its addresses are written to standard output as one line
    of JSON.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    click.echo(json.dumps(await process.start()))
    await stop_requested.wait()
    await process.stop()
