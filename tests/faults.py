"""Routers and members that do wrong, each in one way: what the judge has to catch.

A fault is planted by a machine that overrides one step of the honest one, by a front that does, by an operator's file
that lies to its router, or in a stand-in member. Everything else is the honest code.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from banklift import interface as io
from banklift.config import build
from banklift.decide.offsets import ReplicationHistory, ReplicationStatus
from banklift.interface import Effect, Need
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config
from banklift.proxy.wire import ClientRequest, Failed, Final, Refused, Served, StatusQuery
from banklift.resp.front import Client, Place, RespFront
from banklift.resp.proofs import RespProofs

Make = Callable[[Config, int], Machine]
ONE_IN = 20  # requests that a fault strikes, where it strikes now and then


def making(kind: type[Machine], front: type[RespFront] = RespFront) -> Make:
    def make(config: Config, seed: int) -> Machine:
        honest = build.machine(config, seed)
        return kind(
            honest.balancer.settings,
            config.limits,
            len(config.groups),
            seed,
            honest.wire,
            lambda core: front(config, core),
        )

    return make


def lying(**changes: dict[str, object]) -> Make:
    """A router whose file says something else of some classes than the honest one."""

    def make(config: Config, seed: int) -> Machine:
        classes = [
            msgspec.structs.replace(kind, **changes.get(kind.name.replace("-", "_"), {}))
            for kind in config.classes
        ]
        return build.machine(msgspec.structs.replace(config, classes=classes), seed)

    return make


def half(make: Make) -> Make:
    """Every other router is honest."""
    return lambda config, seed: (make if seed % 2 else build.machine)(config, seed)


def sticky(config: Config, seed: int) -> Machine:
    """A router whose file says that sessions do not roam, though they do."""
    return build.machine(msgspec.structs.replace(config, sessions="connection"), seed)


def proofs_of(machine: Machine) -> RespProofs:
    assert isinstance(machine.proofs, RespProofs)
    return machine.proofs


# ---- one final answer


class Mute(Machine):
    """Forgets to answer one request in twenty."""

    def _finish_request(self, request: int, final: Final) -> None:
        if request % ONE_IN:
            super()._finish_request(request, final)


class Stutter(Machine):
    """Says one answer in twenty twice."""

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        actions = super().handle(now, event)
        for action in list(actions):
            if isinstance(action, ev.SendToClient) and self.last_request_id % ONE_IN == 0:
                actions.append(action)
        return actions


class Late(Machine):
    """Gives requests more time than their class has."""

    def answer_time_limit(self, request_class: io.RequestClass) -> float:
        return request_class.deadline + 1.0


class Closer(Machine):
    """Closes the connection where it should fail a request."""

    def _finish_request(self, request: int, final: Final) -> None:
        if isinstance(final, Served):
            return super()._finish_request(request, final)
        pending = self.pending.pop(request)
        self.queues.leave(pending.request.group, pending.request.request_class.name, self.now)
        self.actions.append(ev.CloseClient(pending.request.client))
        self.front.lost(pending.request.client)


class Blocked(RespFront):
    """Lets what is late in a line hold up what is behind it."""

    def _overdue(self, state: Client, place: Place) -> None:
        return


class Zombie(Machine):
    """Sends a request once more after its answer."""

    def _finish_request(self, request: int, final: Final) -> None:
        pending = self.pending.get(request)
        last = pending.attempts[-1] if pending is not None and pending.attempts else None
        super()._finish_request(request, final)
        if pending is not None and last is not None and request % ONE_IN == 0 and isinstance(final, Served):
            link = last.link
            if link is not None and link.id in self.links:
                data = pending.request.exchange.payload(last.status_query)
                self.call_at(self.now + 0.2, lambda: self.actions.append(ev.SendToLink(link.id, data)))


class Undead(Machine):
    """Goes on with requests whose clients have left."""

    def abandon(self, request: int) -> None:
        return


class WriteSwap(Machine):
    """Answers a write with the answer of the write before."""

    last: bytes | None = None

    def _finish_request(self, request: int, final: Final) -> None:
        pending = self.pending.get(request)
        if (
            isinstance(final, Served)
            and pending is not None
            and pending.request.request_class.need is Need.WRITE
        ):
            before, self.last = self.last, final.answer
            if before is not None and request % 3 == 0:
                final = Served(before, final.seen)
        super()._finish_request(request, final)


# ---- no effect twice, true words


class Shameless(Machine):
    """Refuses what may have run, whatever it is."""

    def _finish_request(self, request: int, final: Final) -> None:
        super()._finish_request(request, Refused(0.1) if isinstance(final, Failed) else final)


class Smooth(Machine):
    """Calls everything safe to repeat."""

    def _finish_request(self, request: int, final: Final) -> None:
        super()._finish_request(request, Refused(0.1, True) if isinstance(final, Failed) else final)


class Innocent(Machine):
    """Says that nothing ran, whatever was sent."""

    def may_have_run(self, request: int) -> bool:
        return False


class Doubler(Machine):
    """Sends reads to two members at once."""

    def _start_attempt(self, request: int, member: str, timeout: float) -> None:
        super()._start_attempt(request, member, timeout)
        pending, record = self.pending.get(request), self.members_by_balancer_name.get(member)
        if (
            pending is None
            or record is None
            or pending.request.request_class.need is Need.WRITE
            or request % ONE_IN
        ):
            return
        for other in self.members.values():
            if other.group == record.group and other is not record and (idle := other.idle_links.get(2)):
                link = idle.pop()  # never asked again, so its answer goes nowhere
                del self.idle_links[link.id]
                self.actions.append(
                    ev.SendToLink(link.id, pending.request.exchange.payload(StatusQuery.NONE))
                )
                return


class Liar(Machine):
    """Acknowledges writes that it sends nowhere."""

    def submit(self, request: ClientRequest) -> int:
        if request.request_class.need is Need.WRITE and (self.last_request_id + 1) % ONE_IN == 0:
            self.last_request_id += 1
            request.ids.append(self.last_request_id)
            self.front.done(request, Served(b":5\r\n"))
            return self.last_request_id
        return super().submit(request)


# ---- drains, cold members


class Deaf(Machine):
    """Hears the first roster only."""

    def _apply_roster(
        self, members: tuple[ev.ListedMember, ...], kind: io.ListKind = io.ListKind.FULL
    ) -> None:
        if not self.members:
            super()._apply_roster(members)


class HalfDeaf(Machine):
    """Takes every member that is listed for ready."""

    def _apply_roster(
        self, members: tuple[ev.ListedMember, ...], kind: io.ListKind = io.ListKind.FULL
    ) -> None:
        super()._apply_roster(tuple(msgspec.structs.replace(one, state=io.State.READY) for one in members))


class Young(Machine):
    """Takes every member for a warm one."""

    def _apply_roster(
        self, members: tuple[ev.ListedMember, ...], kind: io.ListKind = io.ListKind.FULL
    ) -> None:
        super()._apply_roster(tuple(msgspec.structs.replace(one, started=None) for one in members))


# ---- no stale read


class Credulous(Machine):
    """Believes that every replica is current."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        proofs_of(self).proves = lambda attempt, fact: True  # type: ignore[method-assign]

    def submit(self, request: ClientRequest) -> int:
        request.must_reflect, request.must_see_all = None, False
        return super().submit(request)


class NowTrack(ReplicationHistory):
    def position(self, replid: str, offset: int) -> float | None:
        return 1e9


class Sloppy(Machine):
    """Takes any offset for the present."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        proofs_of(self).tracks[:] = [NowTrack() for _ in proofs_of(self).tracks]


class LoyalTrack(ReplicationHistory):
    """Knows the first history that it heard of, and no other."""

    def _adopt_history(self, member: str, status: ReplicationStatus, replid: str, now: float) -> bool:
        return self.replid is None and super()._adopt_history(member, status, replid, now)


class Loyal(Machine):
    """Goes on reading from the old line after it was told of the new one."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        proofs_of(self).tracks[:] = [LoyalTrack() for _ in proofs_of(self).tracks]


class Forgetful(Machine):
    """Keeps no mark of what a session has read."""

    def _finish_request(self, request: int, final: Final) -> None:
        pending = self.pending.get(request)
        if (
            isinstance(final, Served)
            and pending is not None
            and pending.request.request_class.need is not Need.WRITE
        ):
            final = Served(final.answer)
        super()._finish_request(request, final)


class Amnesiac(Machine):
    """Keeps no mark of what a session has written."""

    def _finish_request(self, request: int, final: Final) -> None:
        super()._finish_request(request, Served(final.answer) if isinstance(final, Served) else final)


def swapping(need: Need, among: tuple[Need, ...] | None = None) -> type[Machine]:
    """Answers a read of one class now and then with the answer of the one before, of this class or of some others:
    somebody else's, as every request comes from another session."""

    class Swapping(Machine):
        last: bytes | None = None

        def _finish_request(self, request: int, final: Final) -> None:
            pending = self.pending.get(request)
            if isinstance(final, Served) and pending is not None:
                before = self.last
                if pending.request.request_class.need in (among or (need,)):
                    self.last = final.answer
                if pending.request.request_class.need is need and before is not None and request % 5 == 0:
                    final = Served(before, final.seen)
            super()._finish_request(request, final)

    return Swapping


class Shifted(RespFront):
    """Gives the answers of a line with one in front of its own, now and then: a batch is shifted by one."""

    def _flush(self, state: Client) -> None:
        line = list(state.line)
        if (
            len(line) > 1
            and all(place.answer is not None and place.request is not None for place in line)
            and all(str(place.answer)[2] in "$*" for place in line)
        ):
            answers = [place.answer for place in line]
            for place, answer in zip(line, answers[-1:] + answers[:-1], strict=True):
                place.answer = answer
        super()._flush(state)


class Caching(Machine):
    """Serves reads of one key that came before from memory."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.cache: dict[bytes, bytes] = {}

    def submit(self, request: ClientRequest) -> int:
        key = request.exchange.payload(StatusQuery.NONE).partition(b":rid:")[0]
        if request.request_class.need is Need.ANY and key in self.cache and self.last_request_id % 3 == 0:
            self.last_request_id += 1
            request.ids.append(self.last_request_id)
            self.front.done(request, Served(self.cache[key]))
            return self.last_request_id
        return super().submit(request)

    def _finish_request(self, request: int, final: Final) -> None:
        pending = self.pending.get(request)
        if isinstance(final, Served) and pending is not None:
            self.cache[pending.request.exchange.payload(StatusQuery.NONE).partition(b":rid:")[0]] = (
                final.answer
            )
        super()._finish_request(request, final)


SAFE: dict[str, object] = {"effect": Effect.SAFE}
KEYED: dict[str, object] = {"effect": Effect.KEYED, "window": 60.0}
