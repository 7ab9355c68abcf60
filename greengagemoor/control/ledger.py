"""Replicated state machine for requests that run at most once."""

from __future__ import annotations

import heapq

import attrs

from greengagemoor.codes import ClaimVerdict, Code, is_not_run
from greengagemoor.control.commands import Claim, RecordOutcome
from greengagemoor.util import json_conversion, values

DEFAULT_WINDOW_S = 3600.0
"""How long ids are kept unless the document sets ``ledger_window_s``."""
CLAIM_MARGIN_S = 1.0
"""Time added to a claim's validity before its outcome counts as unknown."""


@attrs.define
class ClaimRow:
    """One claimed request.

    Attributes:
        ends: group time after which the claimant no longer sends.
        code: None until the outcome is recorded.
    """

    claim_id: str
    issued_at: float
    ends: float
    code: int | None = None
    outcome: str = ""


@values.frozen
class ClaimAnswer:
    """Result of a claim."""

    verdict: ClaimVerdict
    outcome: str = ""


@values.frozen
class _SavedRow:
    caller: str
    request_id: str
    claim_id: str
    issued_at: float
    ends: float
    code: int | None
    outcome: str


@values.frozen
class _SavedLedger:
    time: float
    window: float
    closed_before: float
    rows: tuple[_SavedRow, ...]


class Ledger:
    """Claims and outcomes within the window, by caller and request id.

    An id older than the window is never granted: its row may have been
    trimmed, and a second grant would run the request twice.
    """

    def __init__(self):
        self.time = 0.0
        self.window_s = DEFAULT_WINDOW_S
        self._closed_before = 0.0
        self._rows: dict[tuple[str, str], ClaimRow] = {}
        self._by_issue_time: list[tuple[float, tuple[str, str]]] = []

    def __len__(self) -> int:
        return len(self._rows)

    def advance_time(self, time: float) -> None:
        """Advances the group's time and trims rows older than the window."""
        self.time = max(self.time, time)
        oldest = self.time - self.window_s
        while self._by_issue_time and self._by_issue_time[0][0] < oldest:
            _, key = heapq.heappop(self._by_issue_time)
            row = self._rows.get(key)
            if row is not None and row.issued_at < oldest:
                del self._rows[key]

    def set_window(self, window: float) -> None:
        """Changes how long ids are kept; a longer window never reopens ids.

        When the window grows, rows of ids between the new cutoff and the old
        one may already be trimmed, so these ids stay expired.
        """
        if window > self.window_s:
            cutoff = self.time - self.window_s
            self._closed_before = max(self._closed_before, cutoff)
        self.window_s = window

    def claim(self, command: Claim) -> ClaimAnswer:
        """Applies a committed claim; grants an id to one claim at a time."""
        key = (command.caller, command.request_id)
        oldest = max(self.time - self.window_s, self._closed_before)
        if command.issued_at < oldest:
            return ClaimAnswer(ClaimVerdict.EXPIRED)
        row = self._rows.get(key)
        if row is None:
            return self._grant(key, command)
        if row.code is not None:
            return ClaimAnswer(ClaimVerdict.DONE, row.outcome)
        if row.claim_id == command.claim_id:
            return ClaimAnswer(ClaimVerdict.GRANTED)
        if self.time < row.ends:
            return ClaimAnswer(ClaimVerdict.IN_PROGRESS)
        return ClaimAnswer(ClaimVerdict.UNKNOWN)

    def _grant(self, key: tuple[str, str], command: Claim) -> ClaimAnswer:
        if command.issued_at > self.time + self.window_s:
            return ClaimAnswer(ClaimVerdict.UNAVAILABLE)
        self._rows[key] = ClaimRow(
            claim_id=command.claim_id,
            issued_at=command.issued_at,
            ends=self.time + command.valid_for_s + CLAIM_MARGIN_S,
        )
        heapq.heappush(self._by_issue_time, (command.issued_at, key))
        return ClaimAnswer(ClaimVerdict.GRANTED)

    def record(self, command: RecordOutcome) -> None:
        """Applies a committed outcome; ignores any but the claimant's.

        "Not run" from the claimant removes the claim, so that the caller may
        retry with the same id: the claimant never sends after it. An unknown
        outcome may still be replaced by the actual one.
        """
        key = (command.caller, command.request_id)
        row = self._rows.get(key)
        if row is None or row.claim_id != command.claim_id:
            return
        if row.code not in (None, Code.UNKNOWN):
            return
        if is_not_run(Code(command.code)):
            del self._rows[key]
            return
        row.code = command.code
        row.outcome = command.outcome

    def save(self) -> str:
        """Returns the whole state as text for a snapshot."""
        rows = tuple(
            _SavedRow(caller, request_id, **attrs.asdict(row))
            for (caller, request_id), row in self._rows.items()
        )
        return json_conversion.encode_json(
            _SavedLedger(self.time, self.window_s, self._closed_before, rows)
        )

    def load(self, text: str) -> None:
        """Replaces the state with a saved one."""
        saved = json_conversion.decode_json(text, _SavedLedger)
        self.time = saved.time
        self.window_s = saved.window
        self._closed_before = saved.closed_before
        self._rows = {
            (row.caller, row.request_id): ClaimRow(
                row.claim_id, row.issued_at, row.ends, row.code, row.outcome
            )
            for row in saved.rows
        }
        self._by_issue_time = [
            (r.issued_at, key) for key, r in self._rows.items()
        ]
        heapq.heapify(self._by_issue_time)
