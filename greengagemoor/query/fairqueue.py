"""A bounded queue: by class priority, then in turn over callers."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagemoor.query.tables import Query


class FairQueue:
    """Waiting queries; callers of one priority take turns.

    One caller's spike in a plain queue puts every other caller behind it: one
    would see all callers' waits rise with one caller's rate. Turns over
    callers keep the wait of a caller near its own number of queries.
    """

    def __init__(self):
        self._lanes: dict[int, OrderedDict[str, deque[Query]]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, query: Query) -> None:
        """Adds a query behind those of its caller."""
        lane = self._lanes.setdefault(query.cls.priority, OrderedDict())
        lane.setdefault(query.request.caller, deque()).append(query)
        self._size += 1

    def pop(self) -> Query | None:
        """Takes the next query: highest priority, caller whose turn it is."""
        for priority in sorted(self._lanes, reverse=True):
            lane = self._lanes[priority]
            if not lane:
                continue
            caller, waiting = next(iter(lane.items()))
            query = waiting.popleft()
            del lane[caller]
            if waiting:
                lane[caller] = waiting
            self._size -= 1
            return query
        return None

    def remove(self, query: Query) -> None:
        """Takes a query out wherever it stands."""
        lane = self._lanes.get(query.cls.priority, {})
        waiting = lane.get(query.request.caller)
        if waiting is None or query not in waiting:
            return
        waiting.remove(query)
        self._size -= 1
        if not waiting:
            del lane[query.request.caller]

    def ahead_of(self, caller: str, priority: int) -> int:
        """Returns how many queries run before a new one of this caller."""
        higher = sum(
            len(waiting)
            for level, lane in self._lanes.items()
            if level > priority
            for waiting in lane.values()
        )
        lane = self._lanes.get(priority, {})
        own = len(lane.get(caller, ()))
        return higher + sum(
            min(len(waiting), own + 1) for waiting in lane.values()
        )

    def newest_of_longest(self, priority: int) -> Query | None:
        """Returns the last query of the caller with most waiting.

        Only lanes at or below ``priority`` count, the lowest first; None if
        nothing waits there.
        """
        lanes = [
            (level, waiting)
            for level, lane in self._lanes.items()
            if level <= priority
            for waiting in lane.values()
        ]
        if not lanes:
            return None
        _, waiting = max(lanes, key=lambda item: (-item[0], len(item[1])))
        return waiting[-1]
