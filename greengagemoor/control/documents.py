"""Replicated state machine for the operators' document."""

from __future__ import annotations

import json
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code
from greengagemoor.util import json_conversion, values

if TYPE_CHECKING:
    from greengagemoor.control.commands import ApplyDocument

MAX_RESULTS = 10_000
"""How many apply results, and how many winners, are kept for resends."""
SHARE_LEASE_S = 7200.0
"""How long a process may use its share without confirming the document."""


@values.frozen
class ApplyResult:
    """Result of an apply; kept to answer resends."""

    code: Code
    version: int
    winner: str = ""
    detail: str = ""


@values.frozen
class ShareParameters:
    """Parameters of the connection shares in one document version.

    Attributes:
        until: when the next version replaced it; None for the current one.
    """

    entries: tuple[str, ...]
    places: int
    until: float | None = None


@values.frozen
class _SavedDocuments:
    version: int
    text: str
    winners: tuple[tuple[int, str], ...]
    results: tuple[tuple[str, ApplyResult], ...]
    history: tuple[ShareParameters, ...]


class Documents:
    """The current document, winning apply ids, and results by apply id."""

    def __init__(self):
        self.version = 0
        self.text = ""
        self._results: OrderedDict[str, ApplyResult] = OrderedDict()
        self._winners: OrderedDict[int, str] = OrderedDict()
        self._history: deque[ShareParameters] = deque()

    def apply(self, command: ApplyDocument) -> ApplyResult:
        """Applies a committed command; deterministic, so equal on every member.

        A resend of an apply id gets the first result, even if other documents
        were accepted since.
        """
        known = self._results.get(command.apply_id)
        if known is not None:
            return known
        result = self._evaluate(command)
        self._results[command.apply_id] = result
        _evict_oldest(self._results)
        return result

    def stored_result(self, apply_id: str) -> ApplyResult | None:
        """Returns the first result of an apply id, if it is still kept."""
        return self._results.get(apply_id)

    def _evaluate(self, command: ApplyDocument) -> ApplyResult:
        if command.replaces != self.version:
            winner = self._winners.get(command.replaces + 1, "")
            return ApplyResult(Code.CONFLICT, self.version, winner)
        decoded = json.loads(command.text)
        new = ShareParameters(
            entries=tuple(decoded.get("entries", ())),
            places=decoded.get("connection_places", 10),
        )
        error = self._share_error(new, command.time)
        if error:
            return ApplyResult(Code.INVALID, self.version, detail=error)
        self._accept(command, new)
        return ApplyResult(Code.ACCEPTED, self.version, command.apply_id)

    def _accept(self, command: ApplyDocument, new: ShareParameters) -> None:
        if self._history:
            last = self._history.pop()
            self._history.append(attrs.evolve(last, until=command.time))
        self._history.append(new)
        self.version += 1
        self.text = command.text
        self._winners[self.version] = command.apply_id
        _evict_oldest(self._winners)

    def _share_error(self, new: ShareParameters, time: float) -> str:
        """Returns why the change could exceed a connection cap, '' if not.

        An entry instance that is cut off keeps its share under an older
        document. If entries and connection_places could change freely, old
        and new shares together could exceed a cap, and searchers would refuse
        connections after a change of entries. So the number of entry names in
        force within the share lease must not exceed the lowest
        connection_places in force within it.
        """
        self._discard_replaced_before(time - SHARE_LEASE_S)
        recent = [*self._history, new]
        names = set().union(*(item.entries for item in recent))
        places = min(item.places for item in recent)
        if len(names) <= places:
            return ""
        return (
            f"entries: {len(names)} names were in force within the last "
            f"{SHARE_LEASE_S:.0f} s, but connection_places was as low as "
            f"{places}; raise connection_places first, or wait @ $.entries"
        )

    def _discard_replaced_before(self, time: float) -> None:
        while (
            self._history
            and self._history[0].until is not None
            and self._history[0].until < time
        ):
            self._history.popleft()

    def save(self) -> str:
        """Returns the whole state as text for a snapshot."""
        return json_conversion.encode_json(
            _SavedDocuments(
                version=self.version,
                text=self.text,
                winners=tuple(self._winners.items()),
                results=tuple(self._results.items()),
                history=tuple(self._history),
            )
        )

    def load(self, text: str) -> None:
        """Replaces the state with a saved one."""
        saved = json_conversion.decode_json(text, _SavedDocuments)
        self.version = saved.version
        self.text = saved.text
        self._winners = OrderedDict(saved.winners)
        self._results = OrderedDict(saved.results)
        self._history = deque(saved.history)


def _evict_oldest(table: OrderedDict) -> None:
    while len(table) > MAX_RESULTS:
        table.popitem(last=False)
