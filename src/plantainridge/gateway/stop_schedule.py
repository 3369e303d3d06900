"""Times of a planned stop, and which requests can still end before its exit."""

import attrs


@attrs.frozen
class StopSchedule:
    """Loop times of a planned stop, in s.

    Attributes:
        take_all_until: Until then the load balancer may send requests.
        unlisten_at: When the VM stops listening.
        exit_at: When the open requests are ended.
        closing_until: Until then the last answers are written.
    """

    take_all_until: float
    unlisten_at: float
    exit_at: float
    closing_until: float

    def may_outlast(self, ends_by: float, took_s: float | None,
                    arrived_at: float, now: float) -> bool:
        """Return whether a request sent now may still run at the exit.

        The time that requests take decides only for those that arrived while
        the load balancer still sent some, and may be wrong. For later ones only
        the deadline does, which is certain.

        Args:
            ends_by: Loop time at which the request is ended at the latest, in
                s.
            took_s: Time that few requests of its class exceed, in s; None if
                not known.
            arrived_at: Loop time at which it arrived, in s.
            now: Loop time in s.
        """
        if ends_by <= self.exit_at:
            return False
        if arrived_at >= self.take_all_until:
            return True
        if took_s is None:
            return now >= self.take_all_until
        return now + took_s > self.exit_at
