"""A queue ordered by class priority, then round-robin over callers."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagemoor.query.tables import Query


class FairQueue:
    """Waiting queries; a round-robin over the callers of each priority.

    In a FIFO queue, a spike of one caller delays every other caller. With the
    round-robin, a caller's wait depends mostly on its own number of queries.

    A lane holds the queues of the callers of one priority.
    """

    def __init__(self):
        self._lanes: dict[int, OrderedDict[str, deque[Query]]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, query: Query) -> None:
        """Adds a query behind those of its caller."""
        lane = self._lanes.setdefault(
            query.request_class_rules.priority, OrderedDict()
        )
        lane.setdefault(query.request.caller, deque()).append(query)
        self._size += 1

    def pop(self) -> Query | None:
        """Removes and returns the next query, None if the queue is empty."""
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
        """Removes a query from any position, if it is queued."""
        lane = self._lanes.get(query.request_class_rules.priority, {})
        waiting = lane.get(query.request.caller)
        if waiting is None or query not in waiting:
            return
        waiting.remove(query)
        self._size -= 1
        if not waiting:
            del lane[query.request.caller]

    def count_ahead(self, caller: str, priority: int) -> int:
        """Returns how many queries would start before a new one of a caller."""
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

    def displacement_candidate(self, priority: int) -> Query | None:
        """Returns the query to displace from a full queue.

        That is the newest query of the caller with the most queries, in the
        lowest lane in use at or below ``priority``; None if there is none.
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
