"""Clients: open-loop arrivals, sessions that roam over routers, patience and real retries."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Literal

from banklift.judge import forms
from banklift.judge.trace import Entry
from banklift.net.env import Env, Handle, Peer
from banklift.resp.frames import ProtocolError, Scanner, command, decode

MOST = 6  # requests of one batch
SLACK = 0.1  # seconds beyond the class's deadline that a patient client waits
UNREACHABLE = 0.1  # seconds until it tries again where no router took the connection
BROKEN = 0.2  # ... or where the connection broke
REFUSED = b"-TRYAGAIN refused: nothing ran"
REPEAT = b"-TRYAGAIN refused: it may have run"


@dataclass(frozen=True, slots=True)
class Mix:
    """A kind of request that clients send."""

    kind: str
    share: float
    key: str  # format, with {s} for the session and {k} for one of `keys` shared keys
    writes: bool
    keys: int = 1
    forms: tuple[tuple[str, float], ...] = ()  # forms of requests (forms.py) and their shares


@dataclass(frozen=True, slots=True)
class Habits:
    """How clients behave. Shares are of requests; times are seconds."""

    sessions: int
    retries: int = 2
    roam: float = 0.5  # go to any router, not to the session's own
    helped: bool = False  # sessions show the mark of their last write
    named: bool = False  # sessions tell their name on each of their connections
    leavers: float = 0.2  # leave after 42 to 100 per cent of the class's deadline
    reread: float = 0.6  # of writes: read again soon after
    reread_within: float = 0.3
    batches: float = 0.1  # of arrivals: several requests in one piece


@dataclass(slots=True, eq=False)
class Session:
    number: int
    home: int
    marks: dict[tuple[str, str], int] = field(default_factory=dict)  # by group and history: newest offset

    def keep(self, token: str) -> None:
        """Writes of one session may cross: the newest mark of each history counts."""
        for part in token.split(",") if token != "-" else []:
            group, _, mark = part.partition("=")
            replid, _, offset = mark.partition(":")
            self.marks[group, replid] = max(self.marks.get((group, replid), 0), int(offset or 0))

    @property
    def token(self) -> str | None:
        return (
            ",".join(
                f"{group}={replid}:{offset}" if offset else f"{group}=?"
                for (group, replid), offset in self.marks.items()
            )
            or None
        )

    idle: dict[int, list[Line]] = field(default_factory=dict)


class Clients:
    """All clients of a day. `record` gets what they see; `deadlines`: seconds, of each class."""

    def __init__(
        self,
        env: Env,
        addresses: list[str],
        deadlines: dict[str, float],
        mix: list[Mix],
        habits: Habits,
        seed: int,
        record: Callable[[Entry], None],
    ) -> None:
        self.env = env
        self.addresses = addresses
        self.deadlines = deadlines
        self.mix, self.shares = mix, [kind.share for kind in mix]
        self.habits = habits
        self.random = Random(seed)
        self.record = record
        self.sessions = [
            Session(number, self.random.randrange(len(addresses))) for number in range(habits.sessions)
        ]
        self.numbers = 0
        self.lines = 0
        self.open = 0
        self.sending = False

    def run(self, rate: float, seconds: float) -> None:
        """Arrivals at `rate` a second from now on, which wait for nothing."""
        self.sending = True
        self._arrive(self.env.now(), 0.0, rate, seconds)

    def _arrive(self, begin: float, at: float, rate: float, seconds: float) -> None:
        if at:
            batch = self.random.randint(2, MOST) if self.random.random() < self.habits.batches else 1
            session = self.random.choice(self.sessions)
            self.start(session, self.random.choices(self.mix, self.shares, k=batch))
        at += self.random.expovariate(rate)
        if at >= seconds:
            self.sending = False
            return
        self.env.at(begin + at, lambda: self._arrive(begin, at, rate, seconds))

    def start(self, session: Session, kinds: list[Mix]) -> None:
        """Send one request, or several in one piece."""
        requests = []
        for mix in kinds:
            self.numbers += 1
            key = mix.key.format(s=session.number, k=self.random.randrange(mix.keys))
            names = [name for name, _ in mix.forms] or ["append" if mix.writes else "mget"]
            form = self.random.choices(names, [share for _, share in mix.forms] or [1.0])[0]
            requests.append(_Request(self, session, mix, str(self.numbers), key, form))
        self.open += len(requests)
        self.send(session, requests)

    def send(self, session: Session, requests: list[_Request]) -> None:
        """Over a connection that is free, or a new one. A batch is patient as long as its first request."""
        habits, random = self.habits, self.random
        router = random.randrange(len(self.addresses)) if random.random() < habits.roam else session.home
        longest = max(self.deadlines[request.mix.kind] for request in requests)
        patience = longest + SLACK
        if random.random() < habits.leavers:
            patience = self.deadlines[requests[0].mix.kind] * random.uniform(0.42, 1.0)
        idle = session.idle.get(router, [])
        line = None
        while idle and line is None:
            line = idle.pop()
            if line.over:
                line = None
        if line is None:
            line = Line(self, session, router)
        line.take(requests, patience)

    def served(self, session: Session, mix: Mix) -> None:
        """A write was acknowledged."""
        if "{s}" not in mix.key:
            return
        reads = [kind for kind in self.mix if not kind.writes and kind.key == mix.key]
        if reads and self.random.random() < self.habits.reread:
            wait = self.random.uniform(0.0, self.habits.reread_within)
            self.open += 1

            def reread() -> None:
                self.open -= 1
                self.start(session, [reads[0]])

            self.env.at(self.env.now() + wait, reread)

    def close(self) -> None:
        for session in self.sessions:
            for lines in session.idle.values():
                for line in lines:
                    if line.handle is not None:
                        line.handle.close()
            session.idle.clear()


class _Request:
    """One effect that a client wants, over all its tries."""

    def __init__(
        self, clients: Clients, session: Session, mix: Mix, number: str, key: str, form: str
    ) -> None:
        self.clients, self.session, self.mix, self.number, self.key = clients, session, mix, number, key
        self.form = form
        self.tries = 0

    def ended(self, verdict: str, wait: float) -> None:
        """One try is over."""
        clients = self.clients
        rest = self.tries < clients.habits.retries
        self.tries += 1
        again = verdict in ("refused", "repeat", "unreachable") or (
            not self.mix.writes and verdict != "served"
        )
        if verdict == "served" and self.mix.writes:
            clients.served(self.session, self.mix)
        if rest and again:
            clients.env.at(
                clients.env.now() + wait * clients.random.uniform(0.5, 1.0),
                lambda: clients.send(self.session, [self]),
            )
        else:
            clients.open -= 1


@dataclass(slots=True, eq=False)
class _Sent:
    """One request of a batch under way. Frames up to `upto` of the line's answers are its, the last one counts."""

    request: _Request
    rid: str
    upto: int
    token: bool  # the frame behind it is a mark


class Line(Peer):
    """One connection of a session to a router; it carries one batch at a time."""

    def __init__(self, clients: Clients, session: Session, router: int) -> None:
        self.clients, self.session, self.router = clients, session, router
        clients.lines += 1
        self.number = clients.lines
        self.scanner = Scanner(1 << 24)
        self.handle: Handle | None = None
        self.over = False
        self.batch: list[_Request] = []  # to be sent
        self.sent: deque[_Sent] = deque()  # sent, and not answered
        self.turn = 0
        self.last = ""
        self.patience = 0.0
        self.frames: list[bytes] = []
        self.expects = 0
        self.up_ = False
        self.handle = clients.env.connect(clients.addresses[router], self)

    def take(self, batch: list[_Request], patience: float) -> None:
        clients = self.clients
        self.batch, self.patience, self.frames = batch, patience, []
        self.turn += 1
        turn = self.turn
        clients.env.at(clients.env.now() + patience, lambda: self._impatient(turn))
        if self.up_:
            self._send()

    def connected(self, handle: Handle) -> None:
        self.handle, self.up_ = handle, True
        if self.batch:
            self._send()

    def _send(self) -> None:
        clients, session, data = self.clients, self.session, b""
        assert self.handle is not None
        helped, self.expects = clients.habits.helped, 0
        if helped and (token := session.token) is not None:
            data, self.expects = command("BANKLIFT.SEEN", token), 1
        if clients.habits.named and self.turn == 1:
            data, self.expects = (
                data + command("CLIENT", "SETNAME", f"session-{session.number}"),
                self.expects + 1,
            )
        for request in self.batch:
            mix, rid = request.mix, f"{request.number}.{request.tries}"
            one = (forms.write if mix.writes else forms.read)(request.form, request.key, rid)
            data += one.data
            self.expects += one.frames
            self.sent.append(_Sent(request, rid, self.expects, helped))
            if helped:
                data += command("BANKLIFT.TOKEN")
                self.expects += 1
            clients.record(
                Entry(
                    t=clients.env.now(),
                    k="ask",
                    rid=rid,
                    kind=mix.kind,
                    router=self.router,
                    patience=self.patience,
                    keys=list(one.keys),
                    conn=self.number,
                    session=session.number,
                    value=request.form,
                )
            )
        self.batch = []
        self.handle.send(data)

    def data(self, data: bytes) -> None:
        try:
            self.frames += self.scanner.feed(data)
        except ProtocolError as error:
            self.lost(f"protocol: {error}")
            return
        clients = self.clients
        if len(self.frames) > self.expects:  # more than was asked for
            last = self.sent[-1].rid if self.sent else self.last
            clients.record(
                Entry(t=clients.env.now(), k="answer", rid=last, router=self.router, verdict="surplus")
            )
        ended: list[tuple[_Request, str, float]] = []
        while self.sent and len(self.frames) >= self.sent[0].upto + self.sent[0].token:
            one = self.sent.popleft()
            frame, self.last = self.frames[one.upto - 1], one.rid
            verdict, wait = read_answer(frame)
            if one.token and (token := self.frames[one.upto])[:1] == b"$":
                self.session.keep(decode(token).decode())
            writes = one.request.mix.writes
            clients.record(
                Entry(
                    t=clients.env.now(),
                    k="answer",
                    rid=one.rid,
                    router=self.router,
                    verdict=verdict,
                    value=frame.decode("latin-1") if writes or verdict == "error" else "",
                    values=[] if writes or verdict != "served" else forms.values(frame),
                )
            )
            ended.append((one.request, verdict, wait))
        if ended and not self.sent:
            self.session.idle.setdefault(self.router, []).append(self)
        for request, verdict, wait in ended:
            request.ended(verdict, wait)

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        if not self.over:
            self._end("broke", BROKEN)

    def _impatient(self, turn: int) -> None:
        if self.turn == turn and not self.over and (self.batch or self.sent):
            self._end("left", 0.0)

    def _end(self, how: Literal["broke", "left"], wait: float) -> None:
        """It is over: what it carries ends so, what it had not sent found no router."""
        self.over = True
        if self.handle is not None:
            self.handle.close()
        clients, batch, sent = self.clients, self.batch, list(self.sent)
        self.batch = []
        self.sent.clear()
        for one in sent:
            clients.record(Entry(t=clients.env.now(), k=how, rid=one.rid, router=self.router))
            one.request.ended(how, wait)
        for request in batch:
            request.ended("unreachable", UNREACHABLE if how == "broke" else 0.0)


def read_answer(frame: bytes) -> tuple[str, float]:
    """Verdict, and when to come back."""
    for words, verdict in ((REFUSED, "refused"), (REPEAT, "repeat")):
        if frame.startswith(words):
            wait = frame.rpartition(b"retry_after_ms=")[2].strip()
            return verdict, int(wait) / 1000 if wait.isdigit() else 0.1
    if frame.startswith(b"-UNCERTAIN"):
        return "failed", 0.0
    return ("error" if frame[:1] == b"-" else "served"), 0.0
