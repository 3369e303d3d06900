"""Writes log lines as JSON to standard output without ever blocking."""

import json
import os
import sys
import time
from typing import Final

from plantainridge.loop.effects import LogLine

# Lines written per second; further ones are counted and left out, except
# those that tell of a failure.
MAX_LINES_PER_S: Final = 400
# Bytes kept for a reader that is slow; further lines are counted and left out.
MAX_BUFFERED_BYTES: Final = 512 * 1_024
STATUS_OK: Final = 200
_FLUSH_BYTES: Final = 16 * 1_024
_ENCODE: Final = json.JSONEncoder(separators=(',', ':')).encode


class LogWriter:
    """Log lines of one process.

    Attributes:
        left_out: Lines that were left out and not told of yet.
    """

    def __init__(self, vm: str, descriptor: int | None = None) -> None:
        self.vm = vm
        self.descriptor = sys.stdout.fileno() if descriptor is None else (
            descriptor)
        os.set_blocking(self.descriptor, False)
        self.dropped_lines = 0
        self._kept = bytearray()
        self._second = 0
        self._lines = 0

    def write(self, line: LogLine) -> None:
        """Keeps a line to be written."""
        at = time.time()
        if int(at) != self._second:
            self._second, self._lines = int(at), 0
        self._lines += 1
        over = self._lines > MAX_LINES_PER_S and not _tells_failure(line)
        if over or len(self._kept) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            self._keep(
                at, LogLine('lines_left_out', (('count', self.dropped_lines),)))
            self.dropped_lines = 0
        self._keep(at, line)
        if len(self._kept) >= _FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Writes as much as the reader takes now."""
        while self._kept:
            try:
                written = os.write(self.descriptor, self._kept)
            except BlockingIOError:
                return
            except OSError:
                self._kept.clear()
                return
            del self._kept[:written]

    def _keep(self, at: float, line: LogLine) -> None:
        record = {'at': round(at, 4), 'vm': self.vm, 'event': line.event}
        record.update(line.fields)
        self._kept += _ENCODE(record).encode()
        self._kept += b'\n'


def _tells_failure(line: LogLine) -> bool:
    """Whether a line tells of a request that failed or was refused."""
    if line.event in ('request_refused', 'send_failed'):
        return True
    status = dict(line.fields).get('status', 0)
    return line.event == 'request_ended' and status != STATUS_OK
