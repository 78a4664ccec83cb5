"""The clients of a day: open-loop arrivals, sessions that roam over the routers, timeouts and retries."""

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

MAX_BATCH_REQUESTS = 6
TIMEOUT_MARGIN_SECONDS = 0.1  # time beyond the class's deadline that a client waits unless it leaves early
UNREACHABLE_RETRY_SECONDS = 0.1  # base delay of a retry where no router accepted the connection
BROKEN_RETRY_SECONDS = 0.2  # base delay of a retry where the connection broke
REFUSED_PREFIX = b"-TRYAGAIN refused: nothing ran"
REPEATABLE_PREFIX = b"-TRYAGAIN refused: it may have run"


@dataclass(frozen=True, slots=True)
class RequestTemplate:
    """One entry of the mix of requests that clients send."""

    class_name: str
    weight: float  # relative share of all requests
    key: str  # format, with {s} for the session and {k} for one of `keys` shared keys
    writes: bool
    keys: int = 1
    forms: tuple[tuple[str, float], ...] = ()  # forms of requests (forms.py) and their weights


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """How clients behave. Shares are between 0 and 1; times are seconds."""

    sessions: int
    retries: int = 2  # at most, of one request
    roam_share: float = 0.5  # of batches: sent to a random router, not to the session's own
    # sessions send the consistency token of what they have seen with each batch, and ask for one after each request
    sends_tokens: bool = False
    sends_name: bool = False  # sessions send their name on each of their connections
    # of batches: the client leaves after 42 to 100 per cent of the class's deadline
    leaving_share: float = 0.2
    reread_share: float = 0.6  # of acknowledged writes: the session reads the key soon after
    reread_within: float = 0.3
    batch_share: float = 0.1  # of arrivals: several requests sent in one piece


@dataclass(slots=True, eq=False)
class Session:
    """A client's session: its router, the positions that it has seen, and its idle connections by router."""

    number: int
    home_router: int
    # newest offset that the session has seen, by group and replication history
    offsets: dict[tuple[str, str], int] = field(default_factory=dict)

    def record_token(self, token: str) -> None:
        """Keep the newest offset of each history, as tokens of concurrent writes may arrive in any order."""
        for part in token.split(",") if token != "-" else []:
            group, _, position = part.partition("=")
            replid, _, offset = position.partition(":")
            self.offsets[group, replid] = max(self.offsets.get((group, replid), 0), int(offset or 0))

    @property
    def token(self) -> str | None:
        """The token of all positions seen so far, None if there are none."""
        return (
            ",".join(
                f"{group}={replid}:{offset}" if offset else f"{group}=?"
                for (group, replid), offset in self.offsets.items()
            )
            or None
        )

    idle_connections: dict[int, list[ClientConnection]] = field(default_factory=dict)


class Clients:
    """All clients of a day.

    `addresses`: of the routers. `deadlines`: seconds, by class. `record` is called with every entry of the clients' end
    of the trace.
    """

    def __init__(
        self,
        env: Env,
        addresses: list[str],
        deadlines: dict[str, float],
        mix: list[RequestTemplate],
        behaviour: ClientBehaviour,
        seed: int,
        record: Callable[[Entry], None],
    ) -> None:
        self.env = env
        self.addresses = addresses
        self.deadlines = deadlines
        self.mix, self.weights = mix, [template.weight for template in mix]
        self.behaviour = behaviour
        self.random = Random(seed)
        self.record = record
        self.sessions = [
            Session(number, self.random.randrange(len(addresses))) for number in range(behaviour.sessions)
        ]
        self.requests_started = 0
        self.connections_opened = 0
        # requests that have not ended (in flight or waiting for a retry), and reads after writes that are not sent yet
        self.open_requests = 0
        self.is_generating = False  # more arrivals will come

    def run(self, rate: float, seconds: float) -> None:
        """Start open-loop arrivals: `rate` a second for `seconds`, whatever became of earlier ones."""
        self.is_generating = True
        self._arrive(self.env.now(), 0.0, rate, seconds)

    def _arrive(self, begin: float, at: float, rate: float, seconds: float) -> None:
        """Start the arrival that is due at `begin + at` (none for 0), and set a timer for the next one."""
        if at:
            batch_size = (
                self.random.randint(2, MAX_BATCH_REQUESTS)
                if self.random.random() < self.behaviour.batch_share
                else 1
            )
            session = self.random.choice(self.sessions)
            self.start(session, self.random.choices(self.mix, self.weights, k=batch_size))
        at += self.random.expovariate(rate)
        if at >= seconds:
            self.is_generating = False
            return
        self.env.at(begin + at, lambda: self._arrive(begin, at, rate, seconds))

    def start(self, session: Session, templates: list[RequestTemplate]) -> None:
        """Create a request from each template and send all of them in one piece."""
        requests = []
        for template in templates:
            self.requests_started += 1
            key = template.key.format(s=session.number, k=self.random.randrange(template.keys))
            form_names = [name for name, _ in template.forms] or ["append" if template.writes else "mget"]
            form = self.random.choices(form_names, [weight for _, weight in template.forms] or [1.0])[0]
            requests.append(_Request(self, session, template, str(self.requests_started), key, form))
        self.open_requests += len(requests)
        self.send(session, requests)

    def send(self, session: Session, requests: list[_Request]) -> None:
        """Send a batch over an idle connection, or a new one if there is none.

        The client waits for the longest deadline in the batch, or for part of the first request's deadline if it is
        one that leaves early.
        """
        behaviour, random = self.behaviour, self.random
        router = (
            random.randrange(len(self.addresses))
            if random.random() < behaviour.roam_share
            else session.home_router
        )
        longest_deadline = max(self.deadlines[request.template.class_name] for request in requests)
        patience = longest_deadline + TIMEOUT_MARGIN_SECONDS
        if random.random() < behaviour.leaving_share:
            patience = self.deadlines[requests[0].template.class_name] * random.uniform(0.42, 1.0)
        idle = session.idle_connections.get(router, [])
        connection = None
        while idle and connection is None:
            connection = idle.pop()
            if connection.is_closed:
                connection = None
        if connection is None:
            connection = ClientConnection(self, session, router)
        connection.take(requests, patience)

    def write_acknowledged(self, session: Session, template: RequestTemplate) -> None:
        """Schedule a read of the session's key after its write, for a share of the writes to keys of sessions."""
        if "{s}" not in template.key:
            return
        reads = [other for other in self.mix if not other.writes and other.key == template.key]
        if reads and self.random.random() < self.behaviour.reread_share:
            delay = self.random.uniform(0.0, self.behaviour.reread_within)
            self.open_requests += 1

            def reread() -> None:
                self.open_requests -= 1
                self.start(session, [reads[0]])

            self.env.at(self.env.now() + delay, reread)

    def close(self) -> None:
        """Close all idle connections."""
        for session in self.sessions:
            for connections in session.idle_connections.values():
                for connection in connections:
                    if connection.handle is not None:
                        connection.handle.close()
            session.idle_connections.clear()


class _Request:
    """One effect or read that a client wants, over all its tries."""

    def __init__(
        self,
        clients: Clients,
        session: Session,
        template: RequestTemplate,
        number: str,
        key: str,
        form: str,
    ) -> None:
        self.clients, self.session, self.template = clients, session, template
        self.number, self.key = number, key
        self.form = form
        self.tries = 0

    def try_ended(self, verdict: str, retry_after: float) -> None:
        """One try is over. Retry it if that is safe, after 50 to 100 per cent of `retry_after` seconds."""
        clients = self.clients
        retries_left = self.tries < clients.behaviour.retries
        self.tries += 1
        may_retry = verdict in ("refused", "repeat", "unreachable") or (
            not self.template.writes and verdict != "served"
        )
        if verdict == "served" and self.template.writes:
            clients.write_acknowledged(self.session, self.template)
        if retries_left and may_retry:
            clients.env.at(
                clients.env.now() + retry_after * clients.random.uniform(0.5, 1.0),
                lambda: clients.send(self.session, [self]),
            )
        else:
            clients.open_requests -= 1


@dataclass(slots=True, eq=False)
class _SentRequest:
    """A request in flight. Frames of the connection's answers up to `frames_end` are its own; the last one counts."""

    request: _Request
    rid: str
    frames_end: int
    has_token: bool  # the frame after its own is a token


class ClientConnection(Peer):
    """One connection of a session to a router; it carries one batch at a time."""

    def __init__(self, clients: Clients, session: Session, router: int) -> None:
        self.clients, self.session, self.router = clients, session, router
        clients.connections_opened += 1
        self.number = clients.connections_opened
        self.scanner = Scanner(1 << 24)
        self.handle: Handle | None = None
        self.is_closed = False
        self.batch: list[_Request] = []  # still to be sent
        self.in_flight: deque[_SentRequest] = deque()
        self.batches_taken = 0
        self.last_answered_rid = ""
        self.patience = 0.0
        self.frames: list[bytes] = []  # answers to the batch so far
        self.expected_frames = 0
        self.is_open = False
        self.handle = clients.env.connect(clients.addresses[router], self)

    def take(self, batch: list[_Request], patience: float) -> None:
        """Send a batch as soon as the connection is open; give up after `patience` seconds."""
        clients = self.clients
        self.batch, self.patience, self.frames = batch, patience, []
        self.batches_taken += 1
        batch_number = self.batches_taken
        clients.env.at(clients.env.now() + patience, lambda: self._time_out(batch_number))
        if self.is_open:
            self._send()

    def connected(self, handle: Handle) -> None:
        self.handle, self.is_open = handle, True
        if self.batch:
            self._send()

    def _send(self) -> None:
        clients, session, data = self.clients, self.session, b""
        assert self.handle is not None
        sends_tokens, self.expected_frames = clients.behaviour.sends_tokens, 0
        if sends_tokens and (token := session.token) is not None:
            data, self.expected_frames = command("BANKLIFT.SEEN", token), 1
        if clients.behaviour.sends_name and self.batches_taken == 1:
            data, self.expected_frames = (
                data + command("CLIENT", "SETNAME", f"session-{session.number}"),
                self.expected_frames + 1,
            )
        for request in self.batch:
            template, rid = request.template, f"{request.number}.{request.tries}"
            encoded = (forms.encode_write if template.writes else forms.encode_read)(
                request.form, request.key, rid
            )
            data += encoded.data
            self.expected_frames += encoded.frames
            self.in_flight.append(_SentRequest(request, rid, self.expected_frames, sends_tokens))
            if sends_tokens:
                data += command("BANKLIFT.TOKEN")
                self.expected_frames += 1
            clients.record(
                Entry(
                    t=clients.env.now(),
                    k="ask",
                    rid=rid,
                    kind=template.class_name,
                    router=self.router,
                    patience=self.patience,
                    keys=list(encoded.keys),
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
        if len(self.frames) > self.expected_frames:  # more answers than requests
            last_rid = self.in_flight[-1].rid if self.in_flight else self.last_answered_rid
            clients.record(
                Entry(t=clients.env.now(), k="answer", rid=last_rid, router=self.router, verdict="surplus")
            )
        ended: list[tuple[_Request, str, float]] = []
        while (
            self.in_flight and len(self.frames) >= self.in_flight[0].frames_end + self.in_flight[0].has_token
        ):
            sent = self.in_flight.popleft()
            frame, self.last_answered_rid = self.frames[sent.frames_end - 1], sent.rid
            verdict, retry_after = parse_answer(frame)
            if sent.has_token and (token := self.frames[sent.frames_end])[:1] == b"$":
                self.session.record_token(decode(token).decode())
            writes = sent.request.template.writes
            clients.record(
                Entry(
                    t=clients.env.now(),
                    k="answer",
                    rid=sent.rid,
                    router=self.router,
                    verdict=verdict,
                    value=frame.decode("latin-1") if writes or verdict == "error" else "",
                    values=[] if writes or verdict != "served" else forms.decode_values(frame),
                )
            )
            ended.append((sent.request, verdict, retry_after))
        if ended and not self.in_flight:
            self.session.idle_connections.setdefault(self.router, []).append(self)
        for request, verdict, retry_after in ended:
            request.try_ended(verdict, retry_after)

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        if not self.is_closed:
            self._end("broke", BROKEN_RETRY_SECONDS)

    def _time_out(self, batch_number: int) -> None:
        """Leave if this batch is still open."""
        if self.batches_taken == batch_number and not self.is_closed and (self.batch or self.in_flight):
            self._end("left", 0.0)

    def _end(self, cause: Literal["broke", "left"], retry_after: float) -> None:
        """Close the connection. Requests in flight end by `cause`; those still unsent found no router."""
        self.is_closed = True
        if self.handle is not None:
            self.handle.close()
        clients, batch, in_flight = self.clients, self.batch, list(self.in_flight)
        self.batch = []
        self.in_flight.clear()
        for sent in in_flight:
            clients.record(Entry(t=clients.env.now(), k=cause, rid=sent.rid, router=self.router))
            sent.request.try_ended(cause, retry_after)
        for request in batch:
            request.try_ended("unreachable", UNREACHABLE_RETRY_SECONDS if cause == "broke" else 0.0)


def parse_answer(frame: bytes) -> tuple[str, float]:
    """The verdict on an answer (served, refused, repeat, failed or error), and the retry delay in seconds."""
    for prefix, verdict in ((REFUSED_PREFIX, "refused"), (REPEATABLE_PREFIX, "repeat")):
        if frame.startswith(prefix):
            retry_after = frame.rpartition(b"retry_after_ms=")[2].strip()
            return verdict, int(retry_after) / 1000 if retry_after.isdigit() else 0.1
    if frame.startswith(b"-UNCERTAIN"):
        return "failed", 0.0
    return ("error" if frame[:1] == b"-" else "served"), 0.0
