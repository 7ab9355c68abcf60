"""Entries in a fake fleet with searchers that announce themselves."""

from __future__ import annotations

import attrs

from greengagemoor.backends import ServerState
from greengagemoor.membership.messages import Announce, AnnounceReply
from tests.fakes import FakeFleet, server
from tests.test_node import start_fleet

ENTRIES = ("e1", "e2", "e3")
RENEW_S = 1.0


@attrs.define
class FakeSearcher:
    """A searcher that announces itself to its watchers.

    Attributes:
        guardians: the entries that watch it.
    """

    fleet: FakeFleet
    name: str
    guardians: tuple[str, ...]
    incarnation: int = 1
    sequence: int = 1
    renewal: int = 0
    state: ServerState = ServerState.READY
    tokens: list[int] = attrs.field(factory=list)

    def announce(self, **fields) -> int:
        """Announces itself once; returns the token."""
        self.renewal += 1
        token = 10_000 + len(self.fleet.out) + self.renewal
        row = server(
            self.name,
            incarnation=self.incarnation,
            sequence=self.sequence,
            state=self.state,
            announced_to=self.guardians,
            **fields,
        )
        for watcher in self.guardians:
            if watcher in self.fleet.nodes:
                self.fleet.put(watcher, Announce(token, row, self.renewal))
        return token

    def say(self, state: ServerState) -> None:
        """Changes the state and announces it."""
        self.state = state
        self.sequence += 1
        self.announce()


def start_entries(names=ENTRIES, controls=("c1",)) -> FakeFleet:
    """Returns a fleet of ready entries."""
    fleet = start_fleet(names, controls)
    fleet.run(2.0)
    return fleet


def start_searchers(fleet: FakeFleet, guardians=("e1", "e2")) -> dict:
    """Returns searchers a, b and c, whose rows have reached all entries."""
    searchers = {n: FakeSearcher(fleet, n, guardians) for n in "abc"}
    for searcher in searchers.values():
        searcher.announce()
    fleet.run_until(lambda: all(len(shown(fleet, e)) == 3 for e in ENTRIES))
    return searchers


def run_with_renewals(fleet: FakeFleet, searchers, seconds: float) -> None:
    """Runs the fleet while searchers renew their announcements."""
    until = fleet.now + seconds
    while fleet.now < until:
        for searcher in searchers:
            searcher.announce()
        fleet.run(min(RENEW_S, until - fleet.now))


def shown(fleet: FakeFleet, entry: str) -> dict[str, ServerState]:
    """Returns the searchers that an entry may use, and their states."""
    state = fleet.nodes[entry].membership.state
    servers = [msg.server for msg in state.shown.values()]
    return {server.name: server.state for server in servers}


def reply_to(fleet: FakeFleet, token: int) -> AnnounceReply:
    """Returns the last answer to an announcement."""
    return [r for r in fleet.replies(AnnounceReply) if r.token == token][-1]


def roots(fleet: FakeFleet) -> set[int]:
    """Returns the distinct table digests; one if all tables are equal."""
    return {n.membership.state.table.root for n in fleet.nodes.values()}
