"""What RESP members report about themselves, and what that proves about their answers: `Proofs` of proxy/wire.py.

Theory of operation:

- A member reports its replication offset only when asked. So an attempt asks the member for its replication status on
  the same link: a read before its command, so that the data read is at least as new as the status; a write after its
  command, so that the mark it leaves includes the write. A read of need `any` needs no proof and asks nothing more.
- The first exchange of a link, and each while the member's replication history is not known, asks for the history too,
  whatever the request. A restart of the member ends its links, so nothing known about the member outlives the data it
  was reported for.
- A read whose own proof doesn't reach the floor that it needs is not passed on to the client, and counts as a miss.
- The status that comes with a write, a session read or a fresh read leaves a mark with the session (`Served.seen`). The
  reads of the session must cover all its marks: they see the session's writes and never go back behind its reads. Such
  a read asks for the member's status after its command too, as the command may show what was written while it waited.
- A probe of a replica also probes the primary, to take a sample: samples of the primary turn the offsets of replicas
  into positions (decide/offsets.py). The replica's report waits up to `SAMPLE_WAIT_SECONDS` for that sample.
"""

from __future__ import annotations

from dataclasses import dataclass

from banklift import interface as io
from banklift.decide.offsets import ProvenFacts, ReplicationHistory, ReplicationStatus, SessionMark
from banklift.interface import Need, State, Status
from banklift.proxy.machine import Attempt, Machine, MemberRecord
from banklift.proxy.wire import AttemptResult, ClientRequest, MemberInfo, Result, Served, StatusQuery
from banklift.resp.replies import parse_replication_status

SAMPLE_WAIT_SECONDS = 0.02  # a replica's report waits as long as this for a sample of the primary
# the balancer adds as much to the floor of a session read, so ages handed to it have it added to cancel that out
FLOOR_MARGIN_SECONDS = 0.001
MARKING_READS = (Need.SESSION, Need.FRESH)  # reads that leave a mark: later reads of the session are no older


@dataclass(slots=True)
class MemberKnowledge:
    """What the router knows of one member between its answers."""

    history_unknown: bool = True  # its replication history is not known and has to be asked for
    # when the oldest write without an answer was sent, in seconds of the router's clock
    unanswered_since: float | None = None


class RespProofs:
    """Keeps one `ReplicationHistory` for each group and judges answers by it.

    `core`: the router's machine. `groups`: how many groups there are. Times are seconds on the router's clock.
    """

    def __init__(self, core: Machine, groups: int) -> None:
        self.core = core
        self.histories = [ReplicationHistory() for _ in range(groups)]
        # reports that wait for a sample, by group: member, time asked and load
        self.delayed_reports: dict[int, list[tuple[MemberRecord, float, float]]] = {}

    def new_member_state(self) -> MemberKnowledge:
        """The knowledge of a member that has not answered yet."""
        return MemberKnowledge()

    def since_write(self, request: ClientRequest, now: float) -> float | None:
        """Seconds since the newest commit that a session read must see; None if it needs none or is of another class.

        A read of a session that may have written elsewhere must see every commit before its arrival.
        """
        if request.request_class.need is Need.SESSION:
            if request.must_see_all:
                return FLOOR_MARGIN_SECONDS
            if request.must_reflect is not None:
                return (
                    now
                    + FLOOR_MARGIN_SECONDS
                    - self.histories[request.group].required_position(request.must_reflect, now)
                )
        return None

    def choose_query(self, attempt: Attempt, fresh: bool) -> StatusQuery:
        """What to ask the member together with this attempt. `fresh`: the attempt is the first on its link."""
        need = attempt.pending.request.request_class.need
        knowledge = attempt.member.protocol_state
        if need is Need.WRITE and knowledge.unanswered_since is None:
            knowledge.unanswered_since = self.core.now
        if fresh or knowledge.history_unknown:
            return StatusQuery.HISTORY_BOTH_SIDES if need in MARKING_READS else StatusQuery.HISTORY
        if need is Need.ANY:  # needs no proof
            return StatusQuery.NONE
        return StatusQuery.STATUS_BOTH_SIDES if need in MARKING_READS else StatusQuery.STATUS

    def interpret(self, attempt: Attempt, result: Result) -> AttemptResult:
        """What a complete answer means for the attempt, the balancer and the client."""
        request = attempt.pending.request
        member = attempt.member
        now = self.core.now
        status = result.status
        fact = ProvenFacts()
        writes = request.request_class.need is Need.WRITE
        if writes:
            member.protocol_state.unanswered_since = None
        if result.status_before is not None:
            fact = self.learn(member, result.status_before, attempt.written_at, None)
        if status is Status.MISS and writes and fact.primary is None:
            fact = ProvenFacts(primary=False)  # -READONLY means that the member is no primary
        served = None
        if status is Status.OK:
            if not writes and not self.proves(attempt, fact):
                status = Status.MISS
            elif not attempt.pending.has_final_answer:
                seen = None
                if writes:
                    seen = self.histories[member.group].make_mark(member.name, fact.offset, now)
                elif request.request_class.need in MARKING_READS:
                    # what the read showed is no newer than the status after it
                    after = result.status_behind and self.learn(
                        member, result.status_behind, attempt.written_at, None
                    )
                    seen = self.histories[member.group].make_mark(
                        member.name, after.offset if after else None, now
                    )
                served = Served(result.answer, seen)
        load = result.status_before.load if result.status_before is not None else None
        return AttemptResult(
            status, MemberInfo(fact.primary, None, io.Report(position=fact.position, in_flight=load)), served
        )

    def interpret_broken_link(self, attempt: Attempt, result: Result) -> Served:
        """The answer of a link that broke before the status came: its mark has a time and no offset."""
        return Served(result.answer, SessionMark(self.core.now))

    def proves(self, attempt: Attempt, fact: ProvenFacts) -> bool:
        """Whether the status that the member reported on the same link allows passing this read on."""
        request = attempt.pending.request
        match request.request_class.need:
            case Need.ANY:
                return True
            case Need.BOUNDED:
                required_position = attempt.written_at - request.request_class.bound
            case Need.SESSION if not request.must_see_all:
                return request.must_reflect is None or self.histories[request.group].covers(
                    fact, request.must_reflect
                )
            case _:
                required_position = attempt.pending.arrived
        return fact.position is not None and fact.position >= required_position

    def learn(
        self, member: MemberRecord, reported: ReplicationStatus, asked_at: float, waiting: float | None
    ) -> ProvenFacts:
        """Takes in a member's replication status, asked for at `asked_at`, and acts on what it implies.

        `waiting`: when the oldest write was sent that the member has not answered (see `unanswered_since`
        of `ReplicationHistory.record_answer`).
        """
        fact = self.histories[member.group].record_answer(
            member.name, reported, asked_at, self.core.now, waiting
        )
        if fact.history_unknown:
            member.protocol_state.history_unknown = True
            # its role may have changed, so ask for its history
            if member.state is State.READY and not member.pending_probes:
                self.before_probe(member)
                self.core.probe(member)
        elif reported.replid is not None:
            member.protocol_state.history_unknown = False
        if fact.data_replaced:
            self.core.data_replaced(member)
        return fact

    def first_frame(self, attempt: Attempt) -> None:
        """Reports a change of role as soon as the status ahead of a read shows it, as the answer may take longer."""
        member = attempt.member
        reported = parse_replication_status(attempt.frames[0])
        if reported is None or attempt.pending.request.request_class.need is Need.WRITE:
            return
        was_primary = self.histories[member.group].primary_member == member.name
        fact = self.learn(member, reported, attempt.written_at, None)
        if fact.primary is not None and fact.primary != was_primary:
            self._report(member, attempt.written_at, fact.primary, fact.position, reported.load)

    # ---- probes

    def before_probe(self, member: MemberRecord) -> None:
        """A member is about to be probed: probes its primary too, whose sample turns offsets into positions."""
        primary = self._primary_of(member)
        if primary is not None and primary is not member and not primary.pending_probes:
            self.core.probe(primary)

    def probe_answered(self, member: MemberRecord, asked_at: float, frame: bytes) -> None:
        """A member has answered a probe: reports it now, or once the sample of the primary has come."""
        core = self.core
        reported = parse_replication_status(frame)
        # an answer without a status: the member is loading, or the router has no permission to ask
        if reported is None:
            core.probe_failed(member, asked_at)
            return
        waiting = member.protocol_state.unanswered_since
        if waiting is None:
            waiting = min(
                (
                    link.attempt.written_at
                    for link in member.links.values()
                    if link.attempt is not None
                    and link.attempt.pending.request.request_class.need is Need.WRITE
                ),
                default=None,
            )
        fact = self.learn(member, reported, asked_at, waiting)
        primary = self._primary_of(member)
        if (
            fact.primary is not True
            and primary is not None
            and primary.pending_probes
            and primary.pending_probes[0] <= asked_at
        ):
            self.delayed_reports.setdefault(member.group, []).append((member, asked_at, reported.load or 0.0))
            core.call_at(core.now + SAMPLE_WAIT_SECONDS, lambda: self._send_delayed_reports(member.group))
            return
        self._report(member, asked_at, fact.primary, fact.position, reported.load)
        if fact.primary:
            self._send_delayed_reports(member.group)

    def probes_failed(self, member: MemberRecord) -> None:
        """The member did not answer its probes: reports that wait for its sample go out without it."""
        self._send_delayed_reports(member.group)

    def forget(self, member: MemberRecord) -> None:
        """The member is no longer listed."""
        self.histories[member.group].forget(member.name)

    def _primary_of(self, member: MemberRecord) -> MemberRecord | None:
        """The member that leads the group of this one, if it is known."""
        name = self.histories[member.group].primary_member
        return self.core.members.get(name) if name is not None else None

    def _send_delayed_reports(self, group: int) -> None:
        """Sends the delayed reports of a group, as the sample has come or won't come."""
        for member, asked_at, load in self.delayed_reports.pop(group, ()):
            position, _ = self.histories[group].proven_position(member.name)
            self._report(member, asked_at, False, position, load)

    def _report(
        self,
        member: MemberRecord,
        asked_at: float,
        primary: bool | None,
        position: float | None,
        load: float | None,
    ) -> None:
        """Reports a member's role, position and load (commands in flight there), as asked for at `asked_at`."""
        self.core.report_probe(member, asked_at, io.Report(position, primary, load, None, asked_at))
