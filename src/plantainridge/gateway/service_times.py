"""Times that recent requests took, by class of request."""

import math
from collections import OrderedDict, deque
from typing import Final

import attrs

from plantainridge.gateway.config import Route
from plantainridge.gateway.events import Request

# Recent requests of one class whose times are kept.
MAX_SAMPLES: Final = 64
# Requests of one class from which on its times are known.
MIN_SAMPLES: Final = 20
# Classes that are kept; the least recent are dropped first.
MAX_CLASSES: Final = 256
# Quantile of the times by which requests that may be repeated are judged.
# Others are judged by the longest: the next request, if alike, exceeds the
# longest of n with a probability of 1 / (n + 1).
REPEATABLE_QUANTILE: Final = 0.9


@attrs.frozen
class RequestClass:
    """Requests that are expected to take similar times.

    Attributes:
        route: Name of their route.
        size: Power of two above their output in tokens.
    """

    route: str
    size: int


def class_of(route: Route, request: Request) -> RequestClass:
    """Return the class of a request."""
    return RequestClass(route.name, request.output_tokens.bit_length())


@attrs.define
class ServiceTimes:
    """Times from the arrival to the end of recent requests, by their class.

    Attributes:
        samples: The times in s, least recent first.
    """

    samples: OrderedDict[RequestClass,
                         deque[float]] = attrs.field(factory=OrderedDict)

    def record(self, request_class: RequestClass, took_s: float) -> None:
        """Record the time that a request took, in s."""
        times = self.samples.get(request_class)
        if times is None:
            times = self.samples[request_class] = deque(maxlen=MAX_SAMPLES)
            if len(self.samples) > MAX_CLASSES:
                self.samples.popitem(last=False)
        else:
            self.samples.move_to_end(request_class)
        times.append(took_s)

    def longest_s(self, request_class: RequestClass,
                  is_repeatable: bool) -> float | None:
        """Return the time that few requests of a class exceed, in s.

        Returns:
            None while too few of them are known.
        """
        times = sorted(self.samples.get(request_class, ()))
        if len(times) < MIN_SAMPLES:
            return None
        if not is_repeatable:
            return times[-1]
        return times[math.ceil(REPEATABLE_QUANTILE * len(times)) - 1]
