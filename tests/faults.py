"""Faulty routers, each wrong in one way, which the judge has to catch.

A fault is planted by a subclass of the router's machine or front that overrides one step, or by a configuration of the
router that differs from the one the judge has. Everything else is the router's own code.
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
from banklift.resp.front import ClientConnection, PipelineEntry, RespFront
from banklift.resp.proofs import RespProofs

MachineFactory = Callable[[Config, int], Machine]
FAULT_INTERVAL = 20  # an occasional fault affects one request in this many


def faulty_router(machine_type: type[Machine], front: type[RespFront] = RespFront) -> MachineFactory:
    """Builds a router from this type of machine and this type of front."""

    def build_machine(config: Config, seed: int) -> Machine:
        correct = build.machine(config, seed)
        return machine_type(
            correct.balancer.settings,
            config.limits,
            len(config.groups),
            seed,
            correct.wire,
            lambda core: front(config, core),
        )

    return build_machine


def misconfigured_router(**changes: dict[str, object]) -> MachineFactory:
    """Builds a router whose configuration of some classes differs from the one that the judge has.

    `changes`: by name of the class, with `_` for `-`.
    """

    def build_machine(config: Config, seed: int) -> Machine:
        classes = [
            msgspec.structs.replace(request_class, **changes.get(request_class.name.replace("-", "_"), {}))
            for request_class in config.classes
        ]
        return build.machine(msgspec.structs.replace(config, classes=classes), seed)

    return build_machine


def every_other_router(build_machine: MachineFactory) -> MachineFactory:
    """Builds every other router with the fault, the rest without."""
    return lambda config, seed: (build_machine if seed % 2 else build.machine)(config, seed)


def misconfigured_sessions(config: Config, seed: int) -> Machine:
    """Builds a router whose configuration says that sessions stay on one router, though they roam."""
    return build.machine(msgspec.structs.replace(config, sessions="connection"), seed)


def resp_proofs(machine: Machine) -> RespProofs:
    """The part of a machine that checks how current a member is."""
    assert isinstance(machine.proofs, RespProofs)
    return machine.proofs


# ---- rule 1, one final answer


class DropsAnswers(Machine):
    """Does not answer one request in twenty."""

    def _finish_request(self, request: int, final: Final) -> None:
        if request % FAULT_INTERVAL:
            super()._finish_request(request, final)


class DuplicatesAnswers(Machine):
    """Sends one answer in twenty twice."""

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        actions = super().handle(now, event)
        for action in list(actions):
            if isinstance(action, ev.SendToClient) and self.last_request_id % FAULT_INTERVAL == 0:
                actions.append(action)
        return actions


class ExtendsDeadlines(Machine):
    """Gives requests a second more than the deadline of their class."""

    def answer_time_limit(self, request_class: io.RequestClass) -> float:
        return request_class.deadline + 1.0


class ClosesInsteadOfFailing(Machine):
    """Closes the client's connection where it should answer with an error."""

    def _finish_request(self, request: int, final: Final) -> None:
        if isinstance(final, Served):
            return super()._finish_request(request, final)
        pending = self.pending.pop(request)
        self.queues.leave(pending.request.group, pending.request.request_class.name, self.now)
        self.actions.append(ev.CloseClient(pending.request.client))
        self.front.lost(pending.request.client)


class BlocksBehindLateAnswers(RespFront):
    """Lets an overdue request delay the answers to the requests behind it on its connection."""

    def _expire(self, state: ClientConnection, entry: PipelineEntry) -> None:
        return


class ResendsAfterAnswer(Machine):
    """Sends a request to a member once more after its final answer."""

    def _finish_request(self, request: int, final: Final) -> None:
        pending = self.pending.get(request)
        last_attempt = pending.attempts[-1] if pending is not None and pending.attempts else None
        super()._finish_request(request, final)
        if (
            pending is not None
            and last_attempt is not None
            and request % FAULT_INTERVAL == 0
            and isinstance(final, Served)
        ):
            link = last_attempt.link
            if link is not None and link.id in self.links:
                data = pending.request.exchange.payload(last_attempt.status_query)
                self.call_at(self.now + 0.2, lambda: self.actions.append(ev.SendToLink(link.id, data)))


class IgnoresLeftClients(Machine):
    """Goes on with requests whose client has left."""

    def abandon(self, request: int) -> None:
        return


class SwapsWriteAnswers(Machine):
    """Gives every third write the answer of the write before it."""

    last_answer: bytes | None = None

    def _finish_request(self, request: int, final: Final) -> None:
        pending = self.pending.get(request)
        if (
            isinstance(final, Served)
            and pending is not None
            and pending.request.request_class.need is Need.WRITE
        ):
            previous, self.last_answer = self.last_answer, final.answer
            if previous is not None and request % 3 == 0:
                final = Served(previous, final.seen)
        super()._finish_request(request, final)


# ---- rule 2, no effect twice


class RefusesFailedRequests(Machine):
    """Refuses requests that may have been executed, as if nothing had run."""

    def _finish_request(self, request: int, final: Final) -> None:
        super()._finish_request(request, Refused(0.1) if isinstance(final, Failed) else final)


class CallsFailedRequestsRepeatable(Machine):
    """Refuses requests that may have been executed and calls them safe to repeat, whatever their effect."""

    def _finish_request(self, request: int, final: Final) -> None:
        super()._finish_request(request, Refused(0.1, True) if isinstance(final, Failed) else final)


class ForgetsAttempts(Machine):
    """Takes every request for one that reached no member, so that it says nothing ran."""

    def may_have_run(self, request: int) -> bool:
        return False


class SendsReadsTwice(Machine):
    """Sends one read in twenty to two members at once."""

    def _start_attempt(self, request: int, number: int, member: str, timeout: float) -> None:
        super()._start_attempt(request, number, member, timeout)
        pending, record = self.pending.get(request), self.members_by_balancer_name.get(member)
        if (
            pending is None
            or record is None
            or pending.request.request_class.need is Need.WRITE
            or request % FAULT_INTERVAL
        ):
            return
        for other in self.members.values():
            if other.group == record.group and other is not record and (idle := other.idle_links.get(2)):
                link = idle.pop()  # the link is not used again, so its answer is ignored
                del self.idle_links[link.id]
                self.actions.append(
                    ev.SendToLink(link.id, pending.request.exchange.payload(StatusQuery.NONE))
                )
                return


class AcknowledgesUnsentWrites(Machine):
    """Acknowledges one write in twenty without sending it."""

    def submit(self, request: ClientRequest) -> int:
        if request.request_class.need is Need.WRITE and (self.last_request_id + 1) % FAULT_INTERVAL == 0:
            self.last_request_id += 1
            request.ids.append(self.last_request_id)
            self.front.done(request, Served(b":5\r\n"))
            return self.last_request_id
        return super().submit(request)


# ---- rules 3 and 4, drains and cold members


class IgnoresRosterChanges(Machine):
    """Ignores every roster after the first."""

    def _apply_roster(
        self, members: tuple[ev.ListedMember, ...], kind: io.ListKind = io.ListKind.FULL
    ) -> None:
        if not self.members:
            super()._apply_roster(members)


class IgnoresDrains(Machine):
    """Takes every listed member for ready."""

    def _apply_roster(
        self, members: tuple[ev.ListedMember, ...], kind: io.ListKind = io.ListKind.FULL
    ) -> None:
        super()._apply_roster(tuple(msgspec.structs.replace(one, state=io.State.READY) for one in members))


class IgnoresStartTimes(Machine):
    """Takes every member for a warm one, as it ignores when members started."""

    def _apply_roster(
        self, members: tuple[ev.ListedMember, ...], kind: io.ListKind = io.ListKind.FULL
    ) -> None:
        super()._apply_roster(tuple(msgspec.structs.replace(one, started=None) for one in members))


# ---- rule 5, no stale read


class SkipsStalenessChecks(Machine):
    """Takes every replica for current enough for any read."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        resp_proofs(self).proves = lambda attempt, fact: True  # type: ignore[method-assign]

    def submit(self, request: ClientRequest) -> int:
        request.must_reflect, request.must_see_all = None, False
        return super().submit(request)


class AlwaysCurrentHistory(ReplicationHistory):
    """Takes every offset for the newest one."""

    def position(self, replid: str, offset: int) -> float | None:
        return 1e9


class TakesAnyOffsetAsCurrent(Machine):
    """Takes every offset that a member reports for the newest one."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        resp_proofs(self).histories[:] = [AlwaysCurrentHistory() for _ in resp_proofs(self).histories]


class FirstOnlyHistory(ReplicationHistory):
    """Accepts the first replication history and no later one."""

    def _adopt_history(self, member: str, status: ReplicationStatus, replid: str, now: float) -> bool:
        return self.replid is None and super()._adopt_history(member, status, replid, now)


class KeepsFirstHistory(Machine):
    """Goes on reading from the old replication history after a member reported the new one."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        resp_proofs(self).histories[:] = [FirstOnlyHistory() for _ in resp_proofs(self).histories]


class DropsTokensOfReads(Machine):
    """Gives sessions no token for the positions of their reads."""

    def _finish_request(self, request: int, final: Final) -> None:
        pending = self.pending.get(request)
        if (
            isinstance(final, Served)
            and pending is not None
            and pending.request.request_class.need is not Need.WRITE
        ):
            final = Served(final.answer)
        super()._finish_request(request, final)


class DropsAllTokens(Machine):
    """Gives sessions no token for the positions of their reads and writes."""

    def _finish_request(self, request: int, final: Final) -> None:
        super()._finish_request(request, Served(final.answer) if isinstance(final, Served) else final)


def swapping_read_answers(need: Need, among: tuple[Need, ...] | None = None) -> type[Machine]:
    """A machine that gives every fifth read with this need the answer of the read before it.

    That read has one of the needs `among`, by default the same need. Requests come from different sessions, so it is
    another session's answer.
    """

    class SwapsReadAnswers(Machine):
        last_answer: bytes | None = None

        def _finish_request(self, request: int, final: Final) -> None:
            pending = self.pending.get(request)
            if isinstance(final, Served) and pending is not None:
                previous = self.last_answer
                if pending.request.request_class.need in (among or (need,)):
                    self.last_answer = final.answer
                if pending.request.request_class.need is need and previous is not None and request % 5 == 0:
                    final = Served(previous, final.seen)
            super()._finish_request(request, final)

    return SwapsReadAnswers


class ShiftsBatchAnswers(RespFront):
    """Shifts the answers of a batch by one where all of them are ready and hold values."""

    def _flush(self, state: ClientConnection) -> None:
        pipeline = list(state.pipeline)
        if (
            len(pipeline) > 1
            and all(entry.answer is not None and entry.request is not None for entry in pipeline)
            and all(str(entry.answer)[2] in "$*" for entry in pipeline)
        ):
            answers = [entry.answer for entry in pipeline]
            for entry, answer in zip(pipeline, answers[-1:] + answers[:-1], strict=True):
                entry.answer = answer
        super()._flush(state)


class ServesCachedReads(Machine):
    """Serves every third read of the need "any" from the answer to an earlier read of the same keys."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.cached_answers: dict[bytes, bytes] = {}

    def submit(self, request: ClientRequest) -> int:
        key = request.exchange.payload(StatusQuery.NONE).partition(b":rid:")[0]
        if (
            request.request_class.need is Need.ANY
            and key in self.cached_answers
            and self.last_request_id % 3 == 0
        ):
            self.last_request_id += 1
            request.ids.append(self.last_request_id)
            self.front.done(request, Served(self.cached_answers[key]))
            return self.last_request_id
        return super().submit(request)

    def _finish_request(self, request: int, final: Final) -> None:
        pending = self.pending.get(request)
        if isinstance(final, Served) and pending is not None:
            self.cached_answers[pending.request.exchange.payload(StatusQuery.NONE).partition(b":rid:")[0]] = (
                final.answer
            )
        super()._finish_request(request, final)


SAFE: dict[str, object] = {"effect": Effect.SAFE}
KEYED: dict[str, object] = {"effect": Effect.KEYED, "window": 60.0}
