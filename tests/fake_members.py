"""Fake voters and aggregators on loopback, which answer an operator's command as a test tells them to."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

from banklift.fleet.messages import PROTOCOL_VERSION, FrameDecoder, Hello, Message, encode

Reply = Callable[[Message], list[Message]]  # makes the answers to a message other than the operator's `Hello`
HANG_TIMEOUT_SECONDS = 60.0  # ends a test that hangs


class FakeGrantor:
    """Listens on a free port of 127.0.0.1, in a thread of its own, until `close`.

    It answers a `Hello` with `greeting` (by default a `Hello` of its own) and any other message with what `reply`
    returns. `silent`: it reads and never answers. `received`: all messages it received.
    """

    def __init__(
        self, name: str, reply: Reply, silent: bool = False, greeting: Message | None = None
    ) -> None:
        self.reply = reply
        self.silent = silent
        self.greeting = greeting or Hello(PROTOCOL_VERSION, "game", name, 1, (), 0.0)
        self.received: list[Message] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._connections: list[socket.socket] = []
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        """Accept connections one after the other, until the listener is closed."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.settimeout(HANG_TIMEOUT_SECONDS)
            self._connections.append(connection)
            try:
                self._answer_messages(connection)
            except OSError:
                connection.close()

    def _answer_messages(self, connection: socket.socket) -> None:
        frames = FrameDecoder()
        while data := connection.recv(65536):
            for message in frames.feed(data):
                self.received.append(message)
                if self.silent:
                    continue
                answers = [self.greeting] if isinstance(message, Hello) else self.reply(message)
                connection.sendall(b"".join(encode(answer) for answer in answers))
        connection.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self._connections:
            connection.close()
        self._thread.join(HANG_TIMEOUT_SECONDS)


@contextmanager
def fake_grantors(**replies: Reply) -> Iterator[dict[str, FakeGrantor]]:
    """Run a fake member for each name with its reply, and close them in the end."""
    with ExitStack() as stack:
        members = {name: FakeGrantor(name, reply) for name, reply in replies.items()}
        for member in members.values():
            stack.callback(member.close)
        yield members


def free_address() -> str:
    """An address (host:port) at which nobody listens at this moment."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"
