"""Members of a fleet that say what a test tells them to, on loopback: an operator's tool can't tell the difference."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

from banklift.fleet.messages import PROTOCOL_VERSION, FrameDecoder, Hello, Message, encode

Reply = Callable[[Message], list[Message]]  # what is said to each message but the operator's `Hello`
PATIENCE = 60.0  # seconds after which a test that hangs ends


class FakeMember:
    """Listens at `address`, in a thread of its own, and answers whoever greets it. `silent`: says nothing at all."""

    def __init__(
        self, name: str, reply: Reply, silent: bool = False, greeting: Message | None = None
    ) -> None:
        self.reply, self.silent = reply, silent
        self.greeting = greeting or Hello(PROTOCOL_VERSION, "game", name, 1, (), 0.0)
        self.heard: list[Message] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._connections: list[socket.socket] = []
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.settimeout(PATIENCE)
            self._connections.append(connection)
            try:
                self._talk(connection)
            except OSError:
                connection.close()

    def _talk(self, connection: socket.socket) -> None:
        frames = FrameDecoder()
        while data := connection.recv(65536):
            for message in frames.feed(data):
                self.heard.append(message)
                if self.silent:
                    continue
                answers = [self.greeting] if isinstance(message, Hello) else self.reply(message)
                connection.sendall(b"".join(encode(one) for one in answers))
        connection.close()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self._connections:
            connection.close()
        self._thread.join(PATIENCE)


@contextmanager
def fake_members(**replies: Reply) -> Iterator[dict[str, FakeMember]]:
    """One for each name."""
    with ExitStack() as stack:
        members = {name: FakeMember(name, reply) for name, reply in replies.items()}
        for member in members.values():
            stack.callback(member.close)
        yield members


def free_address() -> str:
    """Where nobody listens at this moment."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"
