"""Table of an entry's trials of suspect requests."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from greengagemoor.feed.suspects import Standing

if TYPE_CHECKING:
    from greengagemoor.forward.messages import ClaimTrial
    from greengagemoor.forward.tables import Request, Tables

MAX_TRIALS_KEPT = 1024
"""Most trials kept: as many as there may be suspect requests."""


class Stage(enum.Enum):
    """The progress of a trial.

    Attributes:
        IDLE: this entry has no claim to the trial.
        ASKED: its claim waits for a verdict.
        GRANTED: its claim was granted, and nothing is sent yet.
        RUNNING: the trial is sent.
        JUDGED: the trial's connection broke, and its result is being decided.
        SPENT: no further trial is allowed before ``Trial.until``.
    """

    IDLE = "idle"
    ASKED = "asked"
    GRANTED = "granted"
    RUNNING = "running"
    JUDGED = "judged"
    SPENT = "spent"


@attrs.define(eq=False)
class Trial:
    """The trials of one request at this entry.

    Attributes:
        epoch: epoch of the request's row.
        claim: id of this entry's current claim, unique in this process.
        number: number of the current trial, from 1.
        until: end of a grant, or of the pause after all trials were spent.
        last_claim: the claim that was sent last.
        held: requests that wait for the trial to end.
    """

    fingerprint: bytes
    epoch: int
    claim: int
    number: int = 1
    stage: Stage = Stage.IDLE
    until: float = 0.0
    last_claim: ClaimTrial | None = None
    held: list[Request] = attrs.field(factory=list)


def is_refused(tables: Tables, fingerprint: bytes) -> bool:
    """Whether a request is no longer sent to any searcher."""
    if tables.suspects.standing(fingerprint) is Standing.QUARANTINED:
        return True
    trial = tables.trials.get(fingerprint)
    spent = trial is not None and trial.stage is Stage.SPENT
    return spent and tables.now < trial.until


def get_or_create_trial(tables: Tables, fingerprint: bytes) -> Trial:
    """Returns the trial of a request that has a row, created on demand."""
    trial = tables.trials.get(fingerprint)
    row = tables.suspects.get(fingerprint)
    if trial is None or trial.epoch != row.epoch:
        trial = Trial(fingerprint, row.epoch, next(tables.ids))
        tables.trials[fingerprint] = trial
        _evict(tables)
    return trial


def _evict(tables: Tables) -> None:
    """Evicts the oldest trial for which no request waits."""
    if len(tables.trials) <= MAX_TRIALS_KEPT:
        return
    free = (key for key, trial in tables.trials.items() if not trial.held)
    oldest = next(free, None)
    if oldest is not None:
        del tables.trials[oldest]
