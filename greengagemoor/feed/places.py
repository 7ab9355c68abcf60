"""Sends entries their places among all entries."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from greengagemoor.control.messages import Send
from greengagemoor.feed.messages import EntryPlace

if TYPE_CHECKING:
    from greengagemoor.feed.subscribers import Subscribers

PLACES_INTERVAL_S = 1.0
"""Least seconds between two rounds of places. Each change shifts the ranks of
half of the entries; with hundreds that join within a second, a round for each
would be tens of thousands of messages."""


class PlaceDistributor:
    """Sends places while entries outnumber a connection cap.

    The place of an entry determines which searchers it may use. Entries that
    have been gone for less than ``ENTRY_RETENTION_S`` keep their ranks, so
    that a restart of one does not shift the ranks of the others.
    """

    def __init__(self, subscribers: Subscribers):
        """Creates a distributor that sends nothing until a cap is known.

        Args:
            subscribers: the processes that places are sent to.
        """
        self._subscribers = subscribers
        self._least_cap: int | None = None
        self._sent: dict[str, EntryPlace] = {}
        self._sent_version = 0
        self._next_at = float("-inf")

    def set_least_cap(self, cap: int | None) -> None:
        """Sets the least connection cap of any service; None if unknown."""
        if cap != self._least_cap:
            self._least_cap = cap
            self._sent_version = -1

    def place_on_subscribe(self, name: str) -> list[Send]:
        """Returns the message for an entry that has just subscribed."""
        if not (self._is_needed() and self._subscribers.takes_place(name)):
            return []
        place = self._place(self._subscribers.recent_entry_names(), name)
        self._sent[name] = place
        return [Send(name, place)]

    def due_places(self, now: float) -> list[Send]:
        """Returns the places that have changed, at most once a second."""
        if not self._is_due() or now < self._next_at:
            return []
        self._sent_version = self._subscribers.entries_version
        self._next_at = now + PLACES_INTERVAL_S
        names = self._subscribers.recent_entry_names()
        if not self._is_needed() and not self._sent:
            return []
        places = {
            name: self._place(names, name)
            for name in self._subscribers
            if self._subscribers.takes_place(name)
        }
        changed = [
            Send(name, place)
            for name, place in places.items()
            if place != self._sent.get(name)
        ]
        # The last places sent are the ones that no longer need any.
        self._sent = places if self._is_needed() else {}
        return changed

    @property
    def next_wake(self) -> float | None:
        """When the next round is due; None if nothing has changed."""
        return self._next_at if self._is_due() else None

    def _is_due(self) -> bool:
        return self._sent_version != self._subscribers.entries_version

    def _is_needed(self) -> bool:
        cap = self._least_cap
        return cap is not None and self._subscribers.recent_entry_count > cap

    def _place(self, names: list[str], name: str) -> EntryPlace:
        return EntryPlace(bisect_left(names, name), len(names))
