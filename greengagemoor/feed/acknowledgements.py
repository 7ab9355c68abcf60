"""Acknowledgements of announcements that wait for others to receive them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.feed.messages import (
    AnnouncementAccepted,
    AnnouncementRejected,
)
from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.feed.departures import Departures
    from greengagemoor.feed.subscribers import Subscribers

MAX_ACK_DELAY_S = 0.6
"""Longest delay of an acknowledgement; the announcing searcher waits 1 s."""


@values.frozen
class _PendingAck:
    token: object
    number: int
    until: float
    departures: int | None


class PendingAcknowledgements:
    """Announcements that are acknowledged once the system can't forget them.

    A draining searcher stops serving some seconds after the acknowledgement. An
    entry that had not received the change by then would still send to it, so
    all subscribers must have received it, for a bounded time. A drain or leave
    must besides be stored by a majority of the control group: it then survives
    a restart of all processes, and the loss of as many disks as the group
    survives.

    Attributes:
        rejected: announcements rejected so far for lack of copies.
    """

    def __init__(self, subscribers: Subscribers, departures: Departures):
        self._subscribers = subscribers
        self._departures = departures
        self._pending: list[_PendingAck] = []
        self.rejected = 0

    def add(
        self, now: float, token: object, number: int, *, departs: bool
    ) -> None:
        """Adds an announcement.

        Args:
            now: seconds.
            token: the announcement's.
            number: number of the rows that contain it.
            departs: whether the searcher drains or leaves.
        """
        departures = self._departures.version if departs else None
        self._pending.append(
            _PendingAck(token, number, now + MAX_ACK_DELAY_S, departures)
        )

    def settle(
        self, now: float, number: int, name: str, group: frozenset[str]
    ) -> list[AnnouncementAccepted | AnnouncementRejected]:
        """Accepts and rejects the announcements that are due.

        Args:
            now: seconds.
            number: number of the latest rows sent.
            name: this control instance.
            group: the members of the control group; empty if not known.
        """
        taken = self._subscribers.taken_by_all(number)
        out: list[AnnouncementAccepted | AnnouncementRejected] = []
        waiting = []
        for ack in self._pending:
            is_stored = self._is_stored(ack, name, group)
            is_late = now >= ack.until
            if is_stored and (ack.number <= taken or is_late):
                out.append(AnnouncementAccepted(ack.token))
            elif is_late:
                self.rejected += 1
                out.append(AnnouncementRejected(ack.token))
            else:
                waiting.append(ack)
        self._pending = waiting
        return out

    def _is_stored(
        self, ack: _PendingAck, name: str, group: frozenset[str]
    ) -> bool:
        """Whether a majority of the group has stored a departure."""
        if ack.departures is None:
            return True
        members = group or {name}
        own = self._departures.stored_version >= ack.departures
        copies = own and name in members
        copies += self._subscribers.count_stored(members, ack.number)
        return copies > len(members) // 2

    @property
    def next_release(self) -> float | None:
        """Latest time of the first pending acknowledgement; None if none."""
        return self._pending[0].until if self._pending else None

    @property
    def held(self) -> int:
        """Number of pending acknowledgements."""
        return len(self._pending)
