"""Requests to the other members for their tokens."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from greengagemoor.control.messages import Send
from greengagemoor.quota.bucket import EPSILON
from greengagemoor.quota.messages import TokenRequest

if TYPE_CHECKING:
    from greengagemoor.quota.account_row import AccountRow
    from greengagemoor.quota.bucket import Part

REPLY_TIMEOUT_S = 0.006
"""Time to wait for replies; a round trip between data centres takes 1 ms, and
the entry tries another instance after 10 ms."""
SILENT_S = 1.0
"""A member that left a request unanswered is not asked for this long."""


class Collector:
    """Collects tokens of accounts from other members.

    Attributes:
        started: number of collections so far.
    """

    def __init__(self):
        self.started = 0
        self._now = 0.0
        self._members = 1
        self._others: list[str] = []
        self._silent_until: dict[str, float] = {}
        self._requests: dict[str, dict[float, list[str]]] = {}

    def begin(self, now: float, members: int, others: list[str]) -> None:
        """Begins a tick.

        Args:
            now: seconds.
            members: number of parts of each quota.
            others: the other members that have a link to this one.
        """
        self._now, self._members = now, members
        self._others = others
        self._requests = defaultdict(lambda: defaultdict(list))

    def note_received(self, name: str) -> None:
        """Records that an instance has sent something."""
        self._silent_until.pop(name, None)

    def drop_overdue(self, row: AccountRow) -> None:
        """Stops waiting for members that left a request unanswered."""
        if row.awaited and row.awaited_until <= self._now:
            for member in row.awaited:
                self._silent_until[member] = self._now + SILENT_S
            row.awaited.clear()

    def collect(self, row: AccountRow, part: Part) -> bool:
        """Requests tokens if the others probably have any."""
        estimates = self._estimates(row, part)
        if not row.is_worthwhile(estimates.values(), part, self._members):
            return False
        sources = [s for s, number in estimates.items() if number > EPSILON]
        room = part.limit - max(0.0, min(row.bucket.level, part.limit))
        wanted = (row.needed(part) + room) / max(1, len(sources))
        if not sources or wanted <= EPSILON:
            return False
        rate = row.account.rate_per_s
        for_s = wanted / rate if rate else 0.0
        for source in sources:
            row.awaited[source] = min(wanted, part.capacity)
            self._requests[source][for_s].append(row.account.name)
        row.awaited_until = self._now + REPLY_TIMEOUT_S
        self.started += 1
        return True

    def wait_s(self, row: AccountRow, part: Part) -> float:
        """Returns the time until a collection yields a token."""
        estimates = self._estimates(row, part)
        return row.wait_s(estimates.values(), part, self._members)

    def _estimates(self, row: AccountRow, part: Part) -> dict[str, float]:
        return {
            name: row.estimate(self._now, name, part)
            for name in self._others
            if self._silent_until.get(name, 0.0) <= self._now
        }

    def requests(self) -> list[Send]:
        """Returns the requests of this tick."""
        return [
            Send(member, TokenRequest(tuple(names), for_s))
            for member, groups in self._requests.items()
            for for_s, names in groups.items()
        ]
