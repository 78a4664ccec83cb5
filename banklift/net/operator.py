"""An operator's tool in talk with the voters of a fleet: one after another until one answers."""

from __future__ import annotations

import time
from collections.abc import Callable

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
    Set,
    Show,
    Shown,
    encode,
)

CONNECT = 1.0  # seconds in which a voter takes a connection and says who it is
SILENT = 3.0  # seconds without a word after which another voter is asked
PAUSE = 0.2  # seconds before all are tried again


class Unreachable(Exception):
    """No voter answered in time; the text says what each did."""


class Talk:
    """One connection. Errors of all calls: `OSError`, `TimeoutError`, `Garbage`, `anyio.EndOfStream` and the like."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream, self.frames = stream, Frames()
        self.come: list[Message] = []

    async def say(self, message: Message) -> None:
        await self.stream.send(encode(message))

    async def hear(self, seconds: float) -> Message:
        with anyio.fail_after(seconds):
            while not self.come:
                self.come = self.frames.feed(await self.stream.receive())
        return self.come.pop(0)


FAULTS = (
    OSError,
    TimeoutError,
    Garbage,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


async def greet(address: str, fleet: str) -> Talk:
    host, _, port = address.rpartition(":")
    with anyio.fail_after(CONNECT):
        talk = Talk(await anyio.connect_tcp(host, int(port)))
    await talk.say(Hello(VERSION, fleet, "", 0, (), 0.0))
    answer = await talk.hear(CONNECT)
    if not isinstance(answer, Hello):
        raise OSError(answer.reason if isinstance(answer, Bye) else "it does not greet")
    return talk


async def ask(
    voters: dict[str, str],
    fleet: str,
    message: Show | Set,
    seconds: float,
    progress: Callable[[Progress], None] = lambda progress: None,
) -> Shown | Ended | NotProposed:
    """The answer of the first voter that has one. Errors: `Unreachable` when the time is over: what became of a change
    is then not known, and it may be asked for again by its id."""
    end, last = time.monotonic() + seconds, dict.fromkeys(voters, "not tried")
    while True:
        for name, address in voters.items():
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                talk = await greet(address, fleet)
                async with talk.stream:
                    await talk.say(message)
                    while True:
                        left = end - time.monotonic()
                        answer = await talk.hear(max(0.0, min(left, SILENT)))
                        if isinstance(answer, Progress):
                            progress(answer)
                        elif (
                            isinstance(answer, NotProposed)
                            and answer.busy
                            and "does not vote" in answer.reason
                        ):
                            last[name] = answer.reason
                            break
                        elif isinstance(answer, Shown | Ended | NotProposed):
                            return answer
            except FAULTS as error:
                last[name] = str(error) or (
                    "no answer" if isinstance(error, TimeoutError) else "the connection broke"
                )
        if time.monotonic() >= end:
            raise Unreachable("; ".join(f"{name}: {reason}" for name, reason in last.items()))
        await anyio.sleep(PAUSE)
