"""Clients on sockets: open-loop arrivals, sessions that roam over routers, patience and real retries."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import anyio
from anyio.abc import TaskGroup

from banklift.judge.trace import Entry
from banklift.net.pipes import Pipe, connect
from banklift.resp.frames import ProtocolError, Scanner, command, decode


@dataclass(frozen=True, slots=True)
class Mix:
    """A kind of request that clients send."""

    kind: str
    share: float
    key: str  # format, with {s} for the session and {k} for one of `keys` shared keys
    writes: bool
    keys: int = 1


@dataclass(slots=True, eq=False)
class Session:
    number: int
    home: int
    saved: list[str] = field(default_factory=list)  # effects acknowledged
    token: bytes | None = None
    idle: dict[int, list[Line]] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Line:
    """One connection of a client to a router."""

    pipe: Pipe
    scanner: Scanner
    number: int


class Clients:
    """Sends a day's requests to the routers and records what it saw.

    `roam`: share of requests that go to any router, not to the session's own. `helped`: sessions show their token.
    """

    def __init__(self, addresses: list[str], deadlines: dict[str, float], mix: list[Mix], sessions: int, seed: int,
                 record: Callable[[Entry], None], retries: int = 2, roam: float = 0.5, helped: bool = False,
                 leavers: float = 0.3, reread: float = 0.6, clock: Callable[[], float] = time.monotonic) -> None:
        self.addresses = addresses
        self.deadlines = deadlines
        self.mix = mix
        self.random = Random(seed)
        self.record = record
        self.retries = retries
        self.roam, self.helped, self.leavers, self.reread = roam, helped, leavers, reread
        self.clock = clock
        self.sessions = [Session(number, self.random.randrange(len(addresses))) for number in range(sessions)]
        self.numbers = 0
        self.lines = 0
        self.open = 0
        self.done = 0

    async def run(self, rate: float, seconds: float, tasks: TaskGroup) -> None:
        """Arrivals at `rate` a second, which wait for nothing."""
        begin, at = self.clock(), 0.0
        while at < seconds:
            at += self.random.expovariate(rate)
            if (wait := begin + at - self.clock()) > 0:
                await anyio.sleep(wait)
            session = self.random.choice(self.sessions)
            mix = self.random.choices(self.mix, [kind.share for kind in self.mix])[0]
            self.start(session, mix, tasks)

    def start(self, session: Session, mix: Mix, tasks: TaskGroup) -> None:
        self.numbers += 1
        tasks.start_soon(self._request, session, mix, str(self.numbers), tasks)

    async def _request(self, session: Session, mix: Mix, number: str, tasks: TaskGroup) -> None:
        self.open += 1
        key = mix.key.format(s=session.number, k=self.random.randrange(mix.keys))
        for attempt in range(self.retries + 1):
            rid = f"{number}.{attempt}"
            verdict, wait = await self._try(session, mix, rid, key, number, tasks)
            if verdict == "served":
                if mix.writes and "{s}" in mix.key:
                    session.saved.append(number)
                    if self.random.random() < self.reread:
                        reads = [kind for kind in self.mix if not kind.writes and kind.key == mix.key]
                        if reads:
                            await anyio.sleep(self.random.uniform(0.0, 0.3))
                            self.start(session, reads[0], tasks)
                break
            if verdict not in ("refused", "unreachable") and mix.writes:
                break  # it may have run
            await anyio.sleep(wait * self.random.uniform(0.5, 1.0))
        self.open -= 1
        self.done += 1

    async def _try(self, session: Session, mix: Mix, rid: str, key: str, effect: str,
                   tasks: TaskGroup) -> tuple[str, float]:
        roams = self.random.random() < self.roam
        router = self.random.randrange(len(self.addresses)) if roams else session.home
        deadline = self.deadlines[mix.kind]
        patience = deadline * (self.random.uniform(0.42, 1.0) if self.random.random() < self.leavers else 1.0) + 0.1
        line = await self._line(session, router, tasks)
        if line is None:
            return "unreachable", 0.1
        sent = command("APPEND", key, f"{rid};") if mix.writes else command("MGET", key, f"{key}:rid:{rid}")
        expects = 1
        if self.helped and session.token is not None:
            sent, expects = command("BANKLIFT.SEEN", session.token) + sent, 2
        if self.helped and mix.writes:
            sent, expects = sent + command("BANKLIFT.TOKEN"), expects + 1
        asked = self.clock()
        self.record(Entry(t=asked, k="ask", rid=rid, kind=mix.kind, router=router, patience=patience, key=key,
                          conn=line.number, needs=list(session.saved) if not mix.writes else []))
        frames: list[bytes] = []
        line.pipe.send(sent)
        try:
            with anyio.fail_after(patience):
                while len(frames) < expects:
                    data = await line.pipe.receive()
                    if not data:
                        raise anyio.EndOfStream
                    frames += line.scanner.feed(data)
        except TimeoutError:
            line.pipe.close()
            self.record(Entry(t=self.clock(), k="left", rid=rid, router=router))
            return "left", 0.0
        except (OSError, ValueError, anyio.EndOfStream, anyio.ClosedResourceError, ProtocolError):
            line.pipe.close()
            self.record(Entry(t=self.clock(), k="broke", rid=rid, router=router))
            return "broke", 0.2
        for _ in frames[expects:]:
            self.record(Entry(t=self.clock(), k="answer", rid=rid, router=router, verdict="surplus"))
        place = 1 if self.helped and session.token is not None else 0
        answer = frames[place]
        if self.helped and mix.writes and frames[place + 1][:1] == b"$":
            session.token = decode(frames[place + 1])
        verdict, wait, value = read_answer(answer)
        self.record(Entry(t=self.clock(), k="answer", rid=rid, router=router, verdict=verdict, value=value,
                          kind=mix.kind))
        session.idle.setdefault(router, []).append(line)
        return verdict, wait

    async def _line(self, session: Session, router: int, tasks: TaskGroup) -> Line | None:
        idle = session.idle.get(router)
        while idle:
            line = idle.pop()
            if not line.pipe.closed:
                return line
        host, _, port = self.addresses[router].rpartition(":")
        try:
            with anyio.fail_after(1.0):
                pipe = await connect(host, int(port), tasks)
        except (OSError, TimeoutError):
            return None
        self.lines += 1
        return Line(pipe, Scanner(1 << 24), self.lines)

    def close(self) -> None:
        for session in self.sessions:
            for lines in session.idle.values():
                for line in lines:
                    line.pipe.close()


def read_answer(frame: bytes) -> tuple[str, float, str]:
    """Verdict, when to come back, and the value shown."""
    if frame.startswith(b"-TRYAGAIN refused"):
        wait = frame.rpartition(b"retry_after_ms=")[2].strip()
        return "refused", int(wait) / 1000 if wait.isdigit() else 0.1, ""
    if frame.startswith(b"-UNCERTAIN"):
        return "failed", 0.0, ""
    if frame[:1] == b"-":
        return "error", 0.0, frame[1:-2].decode("latin-1")
    if frame[:1] == b"*":
        value = decode(frame)[0]
        # each effect was appended as number.try; the effect is the number
        parts = [part.partition(".")[0] for part in (value or b"").decode().split(";") if part]
        return "served", 0.0, ";".join(parts)
    return "served", 0.0, ""
