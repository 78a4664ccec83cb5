"""An operator's tool as a client of a fleet: it asks voters one after another, or aggregators all at once."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from banklift.fleet.messages import (
    VERSION,
    Bye,
    Ended,
    Frames,
    Garbage,
    Hello,
    Message,
    NotProposed,
    Progress,
    Role,
    Set,
    Show,
    Shown,
    encode,
)

CONNECT_TIME = 1.0  # seconds in which a member takes a connection and greets
SILENCE = 3.0  # seconds without a message after which another voter is asked
ROUND_PAUSE = 0.2  # seconds before all voters are tried again
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    Garbage,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

Answer = Shown | Ended | NotProposed
OnProgress = Callable[[Progress], None]


class Unreachable(Exception):
    """No voter answered in time; the text says what each did."""


class DoesNotVote(Exception):
    """This voter can't propose a change now; the text says why."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """A member that did not answer, and what it did instead."""

    reason: str


class Connection:
    """To one member. Errors of all calls: `CONNECTION_ERRORS`."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream, self._frames = stream, Frames()
        self._received: list[Message] = []

    @classmethod
    async def open(cls, address: str, fleet: str) -> Connection:
        """Connect and greet, within `CONNECT_TIME` each."""
        host, _, port = address.rpartition(":")
        with anyio.fail_after(CONNECT_TIME):
            connection = cls(await anyio.connect_tcp(host, int(port)))
        try:
            await connection._greet(fleet)
        except BaseException:
            await anyio.aclose_forcefully(connection._stream)
            raise
        return connection

    async def __aenter__(self) -> Connection:
        return self

    async def __aexit__(self, *error: object) -> None:
        await anyio.aclose_forcefully(self._stream)

    async def send(self, message: Message) -> None:
        await self._stream.send(encode(message))

    async def receive(self, seconds: float) -> Message:
        """The next message, which has to come within that time."""
        with anyio.fail_after(seconds):
            while not self._received:
                self._received = self._frames.feed(await self._stream.receive())
        return self._received.pop(0)

    async def _greet(self, fleet: str) -> None:
        await self.send(Hello(VERSION, fleet, "", 0, (), 0.0, 0.0, Role.OPERATOR))
        answer = await self.receive(CONNECT_TIME)
        if not isinstance(answer, Hello):
            raise OSError(answer.reason if isinstance(answer, Bye) else "it does not greet")


async def ask_voters(
    voters: dict[str, str],
    fleet: str,
    message: Show | Set,
    seconds: float,
    on_progress: OnProgress = lambda progress: None,
) -> Answer:
    """The answer of the first voter that has one; they are asked one after another. A voter that has not read the
    state yet, as it has just started, is passed over where another one shows it. Errors: `Unreachable` when the time
    is over: what became of a change is then not known, and it may be asked for again by its id."""
    end = time.monotonic() + seconds
    outcomes = dict.fromkeys(voters, "not tried")
    stateless: Shown | None = None
    while True:
        for name, address in voters.items():
            if time.monotonic() >= end:
                break
            try:
                answer = await _ask_voter(address, fleet, message, end, on_progress)
            except (*CONNECTION_ERRORS, DoesNotVote) as error:
                outcomes[name] = _reason(error)
                continue
            if not isinstance(answer, Shown) or answer.state is not None:
                return answer
            stateless = answer
        if stateless is not None:
            return stateless
        if time.monotonic() >= end:
            raise Unreachable("; ".join(f"{name}: {reason}" for name, reason in outcomes.items()))
        await anyio.sleep(ROUND_PAUSE)


async def show_each(addresses: dict[str, str], fleet: str, seconds: float) -> dict[str, Shown | NoAnswer]:
    """What each of these members shows; all are asked at once, and have so much time."""
    answers: dict[str, Shown | NoAnswer] = {name: NoAnswer("no answer in time") for name in addresses}

    async def ask(name: str, address: str) -> None:
        try:
            answers[name] = await _show(address, fleet, seconds)
        except CONNECTION_ERRORS as error:
            answers[name] = NoAnswer(_reason(error))

    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            for name, address in addresses.items():
                tasks.start_soon(ask, name, address)
    return answers


async def _show(address: str, fleet: str, seconds: float) -> Shown:
    """Errors: `CONNECTION_ERRORS`."""
    async with await Connection.open(address, fleet) as connection:
        await connection.send(Show())
        while True:
            answer = await connection.receive(seconds)
            if isinstance(answer, Shown):
                return answer


async def _ask_voter(
    address: str, fleet: str, message: Show | Set, end: float, on_progress: OnProgress
) -> Answer:
    """Errors: `CONNECTION_ERRORS`, `DoesNotVote`."""
    async with await Connection.open(address, fleet) as connection:
        await connection.send(message)
        while True:
            left = max(0.0, end - time.monotonic())
            answer = await connection.receive(min(left, SILENCE))
            match answer:
                case Progress():
                    on_progress(answer)
                case NotProposed(_, reason, busy) if busy and "does not vote" in reason:
                    raise DoesNotVote(reason)
                case Shown() | Ended() | NotProposed():
                    return answer


def _reason(error: Exception) -> str:
    if str(error):
        return str(error)
    return "no answer" if isinstance(error, TimeoutError) else "the connection broke"
