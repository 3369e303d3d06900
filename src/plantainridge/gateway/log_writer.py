"""Non-blocking output of log lines as JSON."""

import json
import os
import sys
import time
from typing import Final

from plantainridge.loop.effects import LogLine

# Lines written per second; further ones are counted and dropped, except those
# that report a failed request.
MAX_LINES_PER_S: Final = 400
# Bytes buffered for a slow reader; further lines are counted and dropped.
MAX_BUFFERED_BYTES: Final = 512 * 1_024
STATUS_OK: Final = 200
_FLUSH_BYTES: Final = 16 * 1_024
_ENCODE: Final = json.JSONEncoder(separators=(',', ':')).encode


class LogWriter:
    """Writer of one process's log lines.

    Attributes:
        dropped_lines: Lines dropped since the latest `lines_left_out`.
    """

    def __init__(self, vm: str, descriptor: int | None = None) -> None:
        self.vm = vm
        self.descriptor = sys.stdout.fileno() if descriptor is None else (
            descriptor)
        os.set_blocking(self.descriptor, False)
        self.dropped_lines = 0
        self._buffer = bytearray()
        self._second = 0
        self._lines_this_second = 0

    def write(self, line: LogLine) -> None:
        """Buffer a line, and flush the buffer if it is long."""
        at = time.time()
        if int(at) != self._second:
            self._second, self._lines_this_second = int(at), 0
        self._lines_this_second += 1
        over_limit = (self._lines_this_second > MAX_LINES_PER_S and
                      not _reports_failure(line))
        if over_limit or len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            self._append(
                at, LogLine('lines_left_out', (('count', self.dropped_lines),)))
            self.dropped_lines = 0
        self._append(at, line)
        if len(self._buffer) >= _FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts now."""
        while self._buffer:
            try:
                written = os.write(self.descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _append(self, at: float, line: LogLine) -> None:
        record = {'at': round(at, 4), 'vm': self.vm, 'event': line.event}
        record.update(line.fields)
        self._buffer += _ENCODE(record).encode()
        self._buffer += b'\n'


def _reports_failure(line: LogLine) -> bool:
    """Return whether a line reports that a request failed or was refused."""
    if line.event in ('request_refused', 'send_failed'):
        return True
    status = dict(line.fields).get('status', 0)
    return line.event == 'request_ended' and status != STATUS_OK
