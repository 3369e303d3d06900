"""Mutants of the gateway with one guarantee broken each; the soak must fail.

`python -m tests.soak.mutants` plays all of them. With a mutant's name it is the
program that the soak starts in place of the gateway.
"""

import subprocess
import sys
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs

from plantainridge.gateway import (cache, config, dispatch, drain, endings,
                                   endpoint_limits, lease, origin_holders,
                                   reducer, resumptions, sender, stores,
                                   suspects, views)
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import (AnswerHead, EvacuationChanged,
                                          TimerKind, ViewRead, VmEntry)
from plantainridge.ids import AttemptId, DcId
from plantainridge.loop.effects import Effect
from plantainridge.loop.events import TimerFired
from plantainridge.platform import requests
from tests.soak.launch import run_gateway
from tests.soak.site import GATEWAYS, LARGE_RUN_GATEWAYS


def _repeat_all() -> None:
    """Treat every request as repeatable."""
    setattr(config.Route, 'repeatable', property(lambda route: True))
    setattr(dispatch, 'may_retry', lambda state, call, now: call.sends < 4)


def _refuse_falsely() -> None:
    """Refuse a request as not run although it may have run."""
    endings.STATUS_BAD_GATEWAY = endings.STATUS_UNAVAILABLE  # type: ignore[misc]


def _cross_answers() -> None:
    """Skip the check which request an answer belongs to."""
    read = requests.PlatformWire.read_answer_head

    def read_any(self: Any, send: Any, status: int, headers: Any,
                 now: float) -> AnswerHead | None:
        other_headers = tuple(
            (key, value) for key, value in headers if key != b'x-attempt-id')
        return read(self, send, status, other_headers, now)

    setattr(requests.PlatformWire, 'read_answer_head', read_any)


def _share_salts() -> None:
    """Use one salt for all teams and versions."""
    setattr(cache, 'make_salt', lambda model, version, team: '1.shared')


def _ignore_leaving() -> None:
    """Go on sending requests to endpoints that leave."""
    setattr(
        EndpointView, 'is_available',
        lambda view, now: now >= max(view.cooldown_until, view.unreached_until))


def _ignore_limits() -> None:
    """Send to cold endpoints as to all others."""
    setattr(endpoint_limits, 'admitted', lambda state, views, now: views)


def _keep_first_configuration() -> None:
    """Never apply a newer configuration."""
    apply = getattr(views, '_apply')

    def apply_first(state: Any, update: Any, now: float) -> Any:
        newer = isinstance(update, config.Configuration)
        if newer and state.config.version >= 0:
            return iter(())
        return apply(state, update, now)

    setattr(views, '_apply', apply_first)


def _exit_at_once() -> None:
    """Exit at the stop request, with requests in progress."""
    drain.UNREADY_S = drain.LATE_ARRIVAL_S = 0.0  # type: ignore[misc]
    drain.EXIT_MARGIN_S = 1_000.0  # type: ignore[misc]


def _order_without_lease() -> None:
    """Give orders without holding the lease, all with one fencing token."""
    setattr(lease.Lease, 'fence', lambda self, now: 1)


def _end_silent_answers() -> None:
    """End a request as soon as its endpoint counts as silent."""

    def fail(state: Any, event: TimerFired, now: float) -> Iterator[Effect]:
        call = state.calls.of_attempt(AttemptId(event.key.subject))
        if call is not None:
            yield from endings.fail_request(state, call, 'silent', None, now)

    reducer.TIMER_HANDLERS[TimerKind.SEND_SILENCE] = fail


def _forget_evacuations() -> None:
    """Forget evacuations at a restart: take none from a snapshot."""
    read = views.on_read

    def read_others(state: Any, event: ViewRead,
                    now: float) -> Iterator[Effect]:
        if event.is_snapshot:
            others = tuple(each for each in event.updates
                           if not isinstance(each, EvacuationChanged))
            event = attrs.evolve(event, updates=others)
        return read(state, event, now)

    reducer.EVENT_HANDLERS[ViewRead] = read_others


def _ignore_runs() -> None:
    """Send to an endpoint's address whichever run of it answers there."""
    confirm_and_send = getattr(sender.EndpointSender, '_confirm_and_send')

    def send_unconfirmed(self: Any, connection: Any, effect: Any, *timing:
                         Any) -> None:
        confirm_and_send(self, connection, attrs.evolve(effect, started_ms=0),
                         *timing)

    setattr(sender.EndpointSender, '_confirm_and_send', send_unconfirmed)


def _resume_at_any_build() -> None:
    """Resume streams of callers wherever new ones may begin."""
    setattr(resumptions, 'admit', dispatch.dispatch)


def _hold_origins_in_one_dc() -> None:
    """Send records of where streams began to VMs of the own DC only."""
    choose = origin_holders.choose

    def choose_local(key: int, own_dc: DcId, vms: Any) -> list[VmEntry]:
        return choose(key, own_dc, {own_dc: vms.get(own_dc, ())})

    setattr(origin_holders, 'choose', choose_local)


def _forget_crashes() -> None:
    """Neither read nor write the record of crashes."""
    setattr(suspects, 'update_record', lambda state, now: iter(()))
    setattr(suspects, 'is_record_awaited', lambda state, now: False)


def _save_at_once() -> None:
    """Save to KV cache stores that may just have restarted."""
    setattr(stores.StoreView, 'accepts_saves',
            lambda view, now: view.is_fresh(now))


# Each with a seed at which the soak detects it.
MUTANTS: Final[dict[str, tuple[Callable[[], None], int]]] = {
    'repeat_all': (_repeat_all, 3),
    'refuse_falsely': (_refuse_falsely, 3),
    'share_salts': (_share_salts, 4),
    'ignore_leaving': (_ignore_leaving, 4),
    'ignore_limits': (_ignore_limits, 4),
    'keep_first_configuration': (_keep_first_configuration, 3),
    'exit_at_once': (_exit_at_once, 4),
    'order_without_lease': (_order_without_lease, 3),
    'cross_answers': (_cross_answers, 3),
    'end_silent_answers': (_end_silent_answers, 28025),
    'forget_evacuations': (_forget_evacuations, 3),
    'ignore_runs': (_ignore_runs, 3),
    'resume_at_any_build': (_resume_at_any_build, 1),
    'hold_origins_in_one_dc': (_hold_origins_in_one_dc, 5),
    'forget_crashes': (_forget_crashes, 1),
    'save_at_once': (_save_at_once, 1),
}
# Played with more gateways than share all with all.
LARGE_MUTANTS: Final = frozenset({'hold_origins_in_one_dc'})


def _start(name: str) -> None:
    """Run a gateway with one guarantee broken."""
    MUTANTS[name][0]()
    sys.argv[1:] = ['--metrics-port', '7004']
    run_gateway()


def _play_all() -> None:
    """Play the soak with every mutant; exit with 1 if one is not detected."""
    undetected = []
    for name, (_, seed) in MUTANTS.items():
        gateways = LARGE_RUN_GATEWAYS if name in LARGE_MUTANTS else GATEWAYS
        command = [
            sys.executable, '-m', 'tests.soak', '--one', '--mutant', name,
            '--seed',
            str(seed), '--seconds', '14', '--gateways',
            str(gateways)
        ]
        detected = subprocess.run(command, check=False).returncode == 1
        print(f'{name}: {"noticed" if detected else "MISSED"}', flush=True)
        if not detected:
            undetected.append(name)
    sys.exit(1 if undetected else 0)


if __name__ == '__main__':
    if len(sys.argv) > 1:
        _start(sys.argv[1])
    else:
        _play_all()
