"""Replicated state machine of the operators' document."""

from __future__ import annotations

import json
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code
from greengagemoor.util import shape, values

if TYPE_CHECKING:
    from greengagemoor.control.commands import ApplyDocument

MAX_RESULTS = 10_000
SHARE_LEASE_S = 7200.0
"""How long a process may go on under a document it can't confirm."""


@values.frozen
class ApplyResult:
    """What became of an apply; kept for resends."""

    code: Code
    version: int
    winner: str = ""
    detail: str = ""


@values.frozen
class InForce:
    """What a document version meant for connection shares.

    Attributes:
        until: when the next version replaced it; None for the current one.
    """

    entries: tuple[str, ...]
    places: int
    until: float | None = None


@values.frozen
class _Saved:
    version: int
    text: str
    winners: tuple[tuple[int, str], ...]
    results: tuple[tuple[str, ApplyResult], ...]
    history: tuple[InForce, ...]


class Documents:
    """The current document, who won each version, and results by apply id."""

    def __init__(self):
        self.version = 0
        self.text = ""
        self._results: OrderedDict[str, ApplyResult] = OrderedDict()
        self._winners: OrderedDict[int, str] = OrderedDict()
        self._history: deque[InForce] = deque()

    def apply(self, command: ApplyDocument) -> ApplyResult:
        """Applies a committed command; the same on every member.

        A resend of an apply id gets the first result, whatever came since.
        """
        known = self._results.get(command.apply_id)
        if known is not None:
            return known
        result = self._decide(command)
        self._results[command.apply_id] = result
        _shorten(self._results)
        return result

    def known_result(self, apply_id: str) -> ApplyResult | None:
        """Returns the first result of an apply id, if it is still kept."""
        return self._results.get(apply_id)

    def _decide(self, command: ApplyDocument) -> ApplyResult:
        if command.replaces != self.version:
            winner = self._winners.get(command.replaces + 1, "")
            return ApplyResult(Code.CONFLICT, self.version, winner)
        decoded = json.loads(command.text)
        new = InForce(
            entries=tuple(decoded.get("entries", ())),
            places=decoded.get("connection_places", 10),
        )
        fault = self._share_fault(new, command.time)
        if fault:
            return ApplyResult(Code.INVALID, self.version, detail=fault)
        self._accept(command, new)
        return ApplyResult(Code.ACCEPTED, self.version, command.apply_id)

    def _accept(self, command: ApplyDocument, new: InForce) -> None:
        if self._history:
            last = self._history.pop()
            self._history.append(attrs.evolve(last, until=command.time))
        self._history.append(new)
        self.version += 1
        self.text = command.text
        self._winners[self.version] = command.apply_id
        _shorten(self._winners)

    def _share_fault(self, new: InForce, time: float) -> str:
        """Returns why the change could break a connection cap, '' if not.

        An entry that is cut off goes on under an older document, with its
        old share. If names and places could change freely, old and new shares
        together would pass a cap: one would see searchers refuse connections
        after a change of entries. So all names in force within the share
        lease must fit the fewest places in force within it.
        """
        self._forget_before(time - SHARE_LEASE_S)
        recent = [*self._history, new]
        names = set().union(*(item.entries for item in recent))
        places = min(item.places for item in recent)
        if len(names) <= places:
            return ""
        return (
            f"entries: {len(names)} names were in force within the last "
            f"{SHARE_LEASE_S:.0f} s, with {places} connection_places at the "
            "least; raise connection_places first, or wait @ $.entries"
        )

    def _forget_before(self, time: float) -> None:
        while (
            self._history
            and self._history[0].until is not None
            and self._history[0].until < time
        ):
            self._history.popleft()

    def save(self) -> str:
        """Returns the whole state as text for a snapshot."""
        return shape.dump_json(
            _Saved(
                version=self.version,
                text=self.text,
                winners=tuple(self._winners.items()),
                results=tuple(self._results.items()),
                history=tuple(self._history),
            )
        )

    def load(self, text: str) -> None:
        """Replaces the state by a saved one."""
        saved = shape.parse_json(text, _Saved)
        self.version = saved.version
        self.text = saved.text
        self._winners = OrderedDict(saved.winners)
        self._results = OrderedDict(saved.results)
        self._history = deque(saved.history)


def _shorten(table: OrderedDict) -> None:
    while len(table) > MAX_RESULTS:
        table.popitem(last=False)
