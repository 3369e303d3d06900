"""Log lines and metrics of a process."""

import json
import logging as std_logging
from typing import Final

from absl import flags, logging

from plantainridge.loop import effects as base
from plantainridge.metrics import Metrics
from plantainridge.ports import ReportPort

NOISY_LOGGERS: Final = ('uvicorn', 'transitions')


class JsonFormatter(std_logging.Formatter):
    """Formats each log record as one line of JSON."""

    def format(self, record: std_logging.LogRecord) -> str:
        line = {
            'at': record.created,
            'level': record.levelname.lower(),
            'event': record.getMessage(),
        }
        line.update(getattr(record, 'fields', {}))
        if record.exc_info:
            line['trace'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def set_up_logs(verbosity: int = logging.INFO) -> None:
    """Configure absl to write JSON lines to standard error.

    Args:
        verbosity: Verbosity level of absl.
    """
    # click parses the command line; without this, absl would warn on its first
    # log line that flags are not parsed.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter())
    std_logging.getLogger().handlers = [handler]
    for name in NOISY_LOGGERS:
        std_logging.getLogger(name).setLevel(std_logging.WARNING)
    logging.set_verbosity(verbosity)


def log_fault(error: BaseException) -> None:
    """Log the exception of a failed background task."""
    logging.error('task_failed', exc_info=error)


class ProcessReport(ReportPort):
    """Writes log lines through absl and records measurements as histograms."""

    def __init__(self, metrics: Metrics, vm: str) -> None:
        self.metrics = metrics
        self.vm = vm

    def log(self, effect: base.LogLine) -> None:
        fields = dict(effect.fields)
        fields['vm'] = self.vm
        logging.get_absl_logger().info(effect.event, extra={'fields': fields})

    def observe(self, effect: base.Observe) -> None:
        self.metrics.observe(effect.metric, effect.team, effect.klass,
                             effect.value)
