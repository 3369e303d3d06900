"""Writes log lines and counts measurements."""

import json
import logging as std_logging
from typing import Final

from absl import flags, logging

from plantainridge.loop import effects as base
from plantainridge.metrics import Metrics
from plantainridge.ports import ReportPort

NOISY_LOGGERS: Final = ('uvicorn', 'transitions')


class JsonFormatter(std_logging.Formatter):
    """Formats each record as one line of JSON."""

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
    """Makes absl write JSON lines to standard error."""
    # The command line is click's; absl would else warn at the first line.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter())
    std_logging.getLogger().handlers = [handler]
    for name in NOISY_LOGGERS:
        std_logging.getLogger(name).setLevel(std_logging.WARNING)
    logging.set_verbosity(verbosity)


def log_fault(error: BaseException) -> None:
    """Logs what a task in the background failed with."""
    logging.error('task_failed', exc_info=error)


class ProcessReport(ReportPort):
    """Logs through absl and keeps histograms."""

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
