"""Fixture: gateways whose engines run several builds, and streams."""

from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import Part, View, VmEntry
from plantainridge.ids import DcId, EndpointId, RequestId, VmId
from tests.gateway_scene import LOCAL_DC, GatewayScene, head, request
from tests.registry_fleet import RegistryFleet, entry, removal

# Time within which a new try is sent or refused.
MAX_RESUMPTION_S: Final = 3.0


def _prompt(stream: str) -> tuple[Part, ...]:
    """Return a prompt whose preferred engine depends on the stream."""
    return Part(f'{stream}-shared', 900), Part(f'{stream}-own', 100)


def begin_stream(scene: GatewayScene,
                 name: str = 'r1',
                 event_id: str = '1') -> fx.Send:
    """Post a request of a caller and the first event of its answer."""
    scene.post_request('/report/x',
                       name,
                       body=name.encode(),
                       parts=_prompt(name))
    send = scene.last(fx.Send)
    scene.post(ev.StreamStarted(send.attempt, head()))
    if event_id:
        scene.post(
            ev.StreamEventsReceived(send.attempt, b'one', event_id, event_id))
    return send


def resume_stream(scene: GatewayScene,
                  name: str = 'r2',
                  first: str = 'r1',
                  resumes: str | None = None,
                  unread_s: float = 0.0) -> None:
    """Post a caller's new try of a stream.

    Args:
        scene: The VM.
        name: Name of the new try.
        first: Name of the try that brought the first event.
        resumes: The attempt that the caller names instead of that one.
        unread_s: Time for which it was not read, in s.
    """
    scene.post(
        ev.RequestArrived(
            request('/report/x',
                    name,
                    body=first.encode(),
                    parts=_prompt(first),
                    last_event_id='1',
                    resumes=f'caller-{first}' if resumes is None else resumes),
            unread_s))


class BuildFleet(RegistryFleet):
    """VMs of one data centre whose engines run several builds."""

    def __init__(self, size: int, *builds: str) -> None:
        """Start VMs and, in another data centre, two engines of each build."""
        super().__init__(size)
        self.builds: dict[EndpointId, str] = {}
        for build in builds:
            self.add_engines(build, dc='far')
        self.run(1.5)

    def spread(self, *dcs: DcId) -> None:
        """Move the VMs to several data centres, in turn."""
        self._entries = [
            attrs.evolve(each, dc=dcs[at % len(dcs)])
            for at, each in enumerate(self._entries)
        ]
        for each in self._entries:
            scene = self.vms[each.vm]
            scene.state.settings = attrs.evolve(scene.state.settings,
                                                dc=DcId(each.dc))
            scene.read(View.VMS, *self._entries)
        self.run(5.0)

    def list_removed(self, dc: DcId, count: int) -> None:
        """List further VMs of a data centre, which do not run."""
        removed = [
            VmEntry(VmId(f'removed{at}'), dc, f'removed{at}:1')
            for at in range(count)
        ]
        self._entries += removed
        for scene in self.vms.values():
            scene.read(View.VMS, *removed)
        self.run(5.0)

    def vms_of(self, dc: DcId) -> list[VmId]:
        """Return the VMs of a data centre that were not removed."""
        return [
            each.vm
            for each in self._entries
            if each.dc == dc and each.vm in self.vms
        ]

    def add_engines(self, build: str, dc: str = LOCAL_DC) -> None:
        """Register two engines of a build."""
        for name in (f'{build}-a', f'{build}-b'):
            self.builds[EndpointId(name)] = build
            self.store.append(entry(name, build=build, dc=dc))

    def drain_engines(self, build: str, dc: str = LOCAL_DC) -> None:
        """List the engines of a build as leaving."""
        for name in (f'{build}-a', f'{build}-b'):
            self.store.append(entry(name, draining=True, build=build, dc=dc))

    def remove_engines(self, build: str) -> None:
        """Remove the engines of a build from the registry."""
        for name in (f'{build}-a', f'{build}-b'):
            self.store.append(removal(name))

    def restart_all(self, down_s: float = 0.5) -> None:
        """Kill all VMs at once, and start them with nothing in memory.

        Args:
            down_s: Time for which no VM runs, in s.
        """
        for vm in self.vms:
            self.kill(vm)
        self.run(down_s)
        for vm in list(self.vms):
            self.restart(vm)

    def kill(self, vm: VmId) -> None:
        """Kill a VM's process, whose requests and memory are lost."""
        self.paused.add(vm)

    def restart(self, vm: VmId) -> None:
        """Start a VM's process with nothing in memory."""
        self.paused.discard(vm)
        self.start(vm)

    def begin(self, vm: VmId, name: str) -> str:
        """Begin a stream, whose caller then disconnects; return its build."""
        scene = self.vms[vm]
        scene.now = self.now
        send = begin_stream(scene, name)
        scene.post(ev.CallerLeft(RequestId(name)))
        self._execute(vm)
        return self.builds[send.endpoint]

    def resume(self,
               vm: VmId,
               name: str,
               first: str,
               resumes: str | None = None) -> str | fx.Refuse:
        """Resume a stream; return the build at which it continues.

        Args:
            vm: The VM that gets the new try.
            name: Name of the new try.
            first: Name of the try that brought the first event.
            resumes: The attempt that the caller names instead of that one.
        """
        scene = self.vms[vm]
        scene.now = self.now
        resume_stream(scene, name, first, resumes)
        self._execute(vm)
        end = self.now + MAX_RESUMPTION_S
        self.run(0.6)
        while self.now < end:
            for _, effect in self.outputs:
                if isinstance(effect, fx.Send) and effect.request.id == name:
                    scene.post(ev.StreamStarted(effect.attempt, head()))
                    scene.post(ev.StreamEnded(effect.attempt))
                    return self.builds[effect.endpoint]
                if isinstance(effect, fx.Refuse) and effect.request == name:
                    return effect
            self.run(0.1)
        raise AssertionError(f'{name} was neither sent nor refused')
