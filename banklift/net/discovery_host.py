"""Runs the client of the catalogue (discovery/client.py) on connections."""

from __future__ import annotations

from collections.abc import Callable

from banklift.discovery import client
from banklift.net.env import Env, Handle, Peer
from banklift.net.router import Log
from banklift.proxy import events as ev


class DiscoveryHost:
    """Runs a catalogue client (`client.CatalogueClient`) on connections of `env`. `on_roster` gets each new list of
    members, `log` the failures."""

    def __init__(
        self,
        env: Env,
        catalogue_client: client.CatalogueClient,
        on_roster: Callable[[ev.Roster], None],
        log: Log,
    ) -> None:
        self.env, self.client, self.on_roster, self.log = env, catalogue_client, on_roster, log
        self.connection: _CatalogueConnection | None = None
        self.performing = False  # guards against recursion, as connections may call back at once

    def request_roster(self, watch: bool) -> None:
        """Watch the list of members from now on, or fetch the whole list once if `watch` is false."""
        self.client.request_list(self.env.now(), watch)
        self.perform_actions()

    def change_address(self, address: str) -> None:
        """Use the catalogue at `address` (host:port) from now on."""
        self.client.use_address(self.env.now(), address)
        self.perform_actions()

    def perform_actions(self) -> None:
        """Perform the client's actions in order, and set a timer for its next deadline."""
        if self.performing:
            return
        self.performing = True
        while self.client.actions:
            match self.client.actions.pop(0):
                case client.Connect(address):
                    self.connection = _CatalogueConnection(self)
                    self.connection.handle = self.env.connect(address, self.connection)
                case client.Send(data):
                    if self.connection is not None and self.connection.handle is not None:
                        self.connection.handle.send(data)
                case client.Close():
                    if self.connection is not None and self.connection.handle is not None:
                        self.connection.handle.close()
                    self.connection = None
                case client.CallResult(roster, reason):
                    if reason:
                        self.log("discovery failed", {"reason": reason})
                    if roster is not None:
                        self.on_roster(roster)
        self.performing = False
        if self.client.due < float("inf"):
            due = self.client.due
            self.env.at(due, lambda: self._on_timer(due))

    def _on_timer(self, due: float) -> None:
        if self.client.due == due:
            self.client.tick(self.env.now())
            self.perform_actions()


class _CatalogueConnection(Peer):
    """One connection to the catalogue. Its events are ignored once `owner` uses another connection."""

    def __init__(self, owner: DiscoveryHost) -> None:
        self.owner = owner
        self.handle: Handle | None = None

    def connected(self, handle: Handle) -> None:
        if self.owner.connection is self:
            self.owner.client.connected(self.owner.env.now())
            self.owner.perform_actions()

    def data(self, data: bytes) -> None:
        if self.owner.connection is self:
            self.owner.client.data(self.owner.env.now(), data)
            self.owner.perform_actions()

    def eof(self) -> None:
        self.data(b"")

    def lost(self, reason: str) -> None:
        if self.owner.connection is self:
            self.owner.client.lost(self.owner.env.now(), reason)
            self.owner.perform_actions()
