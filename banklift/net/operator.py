"""A fleet's client for operators' tools: sends a request to one voter after another, or to all aggregators at once."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from banklift.fleet.messages import (
    PROTOCOL_VERSION,
    Bye,
    Ended,
    FrameDecoder,
    Hello,
    Message,
    NotProposed,
    Progress,
    ProtocolError,
    Role,
    Set,
    Show,
    Shown,
    encode,
)

CONNECT_TIMEOUT_SECONDS = 1.0  # for a member to accept a connection, and again for its Hello
MESSAGE_TIMEOUT_SECONDS = 3.0  # the next voter is tried if one sends no message for this long
RETRY_PAUSE_SECONDS = 0.2  # between two tries of all voters
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    ProtocolError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

Answer = Shown | Ended | NotProposed
OnProgress = Callable[[Progress], None]


class Unreachable(Exception):
    """No voter answered in time. The text has the error of each."""


class DoesNotVote(Exception):
    """This voter can't propose a change now. The text says why."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The error of a member that did not answer."""

    reason: str


class Connection:
    """A connection to one member of a fleet. Errors of all its methods: `CONNECTION_ERRORS`."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream, self._frames = stream, FrameDecoder()
        self._received: list[Message] = []

    @classmethod
    async def open(cls, address: str, fleet: str) -> Connection:
        """Connect to `address` (host:port) and exchange Hello messages, within `CONNECT_TIMEOUT_SECONDS` each."""
        host, _, port = address.rpartition(":")
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            connection = cls(await anyio.connect_tcp(host, int(port)))
        try:
            await connection._exchange_hello(fleet)
        except BaseException:
            await anyio.aclose_forcefully(connection._stream)
            raise
        return connection

    async def __aenter__(self) -> Connection:
        return self

    async def __aexit__(self, *error: object) -> None:
        await anyio.aclose_forcefully(self._stream)

    async def send(self, message: Message) -> None:
        """Send one message."""
        await self._stream.send(encode(message))

    async def receive(self, seconds: float) -> Message:
        """The next message, which has to arrive within `seconds`."""
        with anyio.fail_after(seconds):
            while not self._received:
                self._received = self._frames.feed(await self._stream.receive())
        return self._received.pop(0)

    async def _exchange_hello(self, fleet: str) -> None:
        await self.send(Hello(PROTOCOL_VERSION, fleet, "", 0, (), 0.0, 0.0, Role.OPERATOR))
        answer = await self.receive(CONNECT_TIMEOUT_SECONDS)
        if not isinstance(answer, Hello):
            raise OSError(answer.reason if isinstance(answer, Bye) else "no Hello received")


async def ask_voters(
    voters: dict[str, str],
    fleet: str,
    message: Show | Set,
    seconds: float,
    on_progress: OnProgress = lambda progress: None,
) -> Answer:
    """Send `message` to one voter after another, for up to `seconds`, and return the first answer.

    `voters` are addresses (host:port) by name; `on_progress` gets each progress message. A voter that has just started
    and has not read the state yet is skipped if another one has it.

    Errors: `Unreachable` when the time is over. The result of a change is then unknown, and the same change, by its id,
    may be requested again.
    """
    deadline = time.monotonic() + seconds
    errors = dict.fromkeys(voters, "not tried")
    answer_without_state: Shown | None = None
    while True:
        for name, address in voters.items():
            if time.monotonic() >= deadline:
                break
            try:
                answer = await _ask_voter(address, fleet, message, deadline, on_progress)
            except (*CONNECTION_ERRORS, DoesNotVote) as error:
                errors[name] = _reason(error)
                continue
            if not isinstance(answer, Shown) or answer.state is not None:
                return answer
            answer_without_state = answer
        if answer_without_state is not None:
            return answer_without_state
        if time.monotonic() >= deadline:
            raise Unreachable("; ".join(f"{name}: {reason}" for name, reason in errors.items()))
        await anyio.sleep(RETRY_PAUSE_SECONDS)


async def show_each(addresses: dict[str, str], fleet: str, seconds: float) -> dict[str, Shown | NoAnswer]:
    """Send a `Show` to all these members (host:port by name) at once; their answers within `seconds`, by name."""
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
    """The answer of one member to a `Show`. Errors: `CONNECTION_ERRORS`."""
    async with await Connection.open(address, fleet) as connection:
        await connection.send(Show())
        while True:
            answer = await connection.receive(seconds)
            if isinstance(answer, Shown):
                return answer


async def _ask_voter(
    address: str, fleet: str, message: Show | Set, deadline: float, on_progress: OnProgress
) -> Answer:
    """The answer of one voter by `deadline`, on the monotonic clock. Errors: `CONNECTION_ERRORS`, `DoesNotVote`."""
    async with await Connection.open(address, fleet) as connection:
        await connection.send(message)
        while True:
            remaining = max(0.0, deadline - time.monotonic())
            answer = await connection.receive(min(remaining, MESSAGE_TIMEOUT_SECONDS))
            match answer:
                case Progress():
                    on_progress(answer)
                case NotProposed(_, reason, busy) if busy and "does not vote" in reason:
                    raise DoesNotVote(reason)
                case Shown() | Ended() | NotProposed():
                    return answer


def _reason(error: Exception) -> str:
    """The text of an error, or one for errors without text."""
    if str(error):
        return str(error)
    return "no answer" if isinstance(error, TimeoutError) else "the connection broke"
