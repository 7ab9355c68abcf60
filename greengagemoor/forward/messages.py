"""Messages of the forward decider. Times are seconds of the process clock."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.codes import ClaimVerdict
    from greengagemoor.feed.messages import SearcherKey
    from greengagemoor.routing.routes import Route


class Ending(enum.Enum):
    """How a request ended, for answers, logs and metrics."""

    ANSWERED = "answered"
    PARTIAL = "partial"
    SEARCHER_FAILED = "searcher_failed"
    BELOW_COVERAGE = "below_coverage"
    NO_ANSWER = "no_answer"
    BROKEN = "broken"
    NOT_RUN_NO_SEARCHER = "not_run_no_searcher"
    NOT_RUN_BUSY = "not_run_busy"
    NOT_RUN_REFUSED = "not_run_refused"
    NOT_RUN_DEADLINE = "not_run_deadline"
    NOT_RUN_SUSPECT = "not_run_suspect"
    NOT_RUN_QUARANTINED = "not_run_quarantined"
    CALLER_GONE = "caller_gone"


NOT_RUN = frozenset(
    {
        Ending.NOT_RUN_NO_SEARCHER,
        Ending.NOT_RUN_BUSY,
        Ending.NOT_RUN_REFUSED,
        Ending.NOT_RUN_DEADLINE,
        Ending.NOT_RUN_SUSPECT,
        Ending.NOT_RUN_QUARANTINED,
    }
)


class Outcome(enum.Enum):
    """What became of one send.

    ``NOT_RUN`` is the searcher's own promise. ``NOT_SENT`` is a connection
    that never stood: nothing of the request left this process. After
    ``BROKEN`` the request may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    WRONG_SEARCHER = "wrong_searcher"
    BROKEN = "broken"


class StepKind(enum.Enum):
    """A decision on the way of a request."""

    SENT = "sent"
    SENT_BESIDE = "sent_beside"
    SHARED = "shared"
    TAKEN_BACK = "taken_back"
    WAITS = "waits"
    HELD = "held"
    TRIAL = "trial"
    ENDED = "ended"


@values.frozen
class Step:
    """One decision, with what decided it.

    Attributes:
        after_s: seconds since the request arrived.
        cost: expected time in medians of the route, lowest of all searchers.
        own: sends of this entry under way at the searcher before it.
        others: requests of others there, by its last word.
        load_age_s: how old that word is.
        note: the outcome of a send that ended.
    """

    kind: StepKind
    after_s: float
    service: str
    searcher_id: str = ""
    cost: float = 0.0
    own: int = 0
    others: float = 0.0
    load_age_s: float = 0.0
    note: str = ""


# In.


@values.frozen
class Arrived:
    """A caller's request that has a route.

    Attributes:
        token: names the request until its ``Respond``.
        patience_s: how long the caller still waits; None if it didn't say.
        fingerprint: equal for requests that ask for the same.
        way_s: what the caller's clock spends on the network, from its first
            packet until the answer is there; None if it isn't known.
    """

    token: int
    request_id: str
    route: Route
    patience_s: float | None
    fingerprint: bytes = b""
    way_s: float | None = None


@values.frozen
class CallerGone:
    """The caller closed its connection before its answer."""

    token: int


@values.frozen
class AnswerLeft:
    """The answer to a gather was written to its caller.

    Attributes:
        delay_s: since it was due.
    """

    delay_s: float


@values.frozen
class SearcherLoad:
    """A searcher's own count of requests, at its last answer."""

    running: int
    waiting: int
    slots: int
    work_percent: int = 100


@values.frozen
class SearcherAnswer:
    """A whole answer of a searcher.

    Attributes:
        signature: proves to the caller that this searcher answered.
        headers: to hand on unchanged.
        is_plain: False if the body is encoded, so that it isn't the body
            that the searcher signed.
        closes: the searcher ends the connection, as it does when it leaves.
    """

    status: int
    signature: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    is_plain: bool = True
    load: SearcherLoad | None = None
    closes: bool = False


@values.frozen
class AttemptEnded:
    """A send ended.

    Attributes:
        stale: the connection had been idle and broke before any byte of an
            answer: the searcher had dropped it unannounced.
        began: some of an answer had come.
        answer: for ``ANSWERED`` and ``NOT_RUN``.
    """

    attempt_id: int
    outcome: Outcome
    answer: SearcherAnswer | None = None
    stale: bool = False
    reason: str = ""
    began: bool = False


@values.frozen
class ProbeEnded:
    """A searcher's address was dialled.

    Attributes:
        refused: nothing listens there; the searcher has ended.
    """

    searcher: SearcherKey
    refused: bool


@values.frozen
class TrialDecided:
    """What the control group says of a claim to a trial."""

    wanted: TrialWanted
    verdict: ClaimVerdict


# Out.


@values.frozen
class ProbeSearcher:
    """Dial this address, and close at once."""

    searcher: SearcherKey
    address: str


@values.frozen
class TrialWanted:
    """Claim the right to try a suspect request once, for all entries.

    Attributes:
        epoch: of the request's row; each has trials of its own.
        number: which of them.
        claim: the same when it is asked again for the same try.
        valid_for_s: the try begins within it.
    """

    fingerprint: bytes
    epoch: int
    number: int
    claim: int
    valid_for_s: float


@values.frozen
class StartAttempt:
    """Send the caller's request to a searcher."""

    attempt_id: int
    token: int
    request_id: str
    searcher_id: str
    address: str
    deadline: float


@values.frozen
class CancelAttempt:
    """Close the connection of this send; the searcher drops the request."""

    attempt_id: int


@values.frozen
class CloseIdle:
    """Close the idle connections to this address: their process has ended."""

    address: str


@values.frozen
class TrialUnused:
    """Give a granted claim back: nothing was sent under it."""

    wanted: TrialWanted


@values.frozen
class Merged:
    """The answer to a gather.

    Attributes:
        signatures: of the searchers whose records are in.
    """

    body: bytes
    signatures: tuple[str, ...]
    missing: int


@values.frozen
class Respond:
    """The final answer to a request.

    Attributes:
        answer: a searcher's own answer, to hand on unchanged.
        merged: the answer to a gather.
        retry_after_s: when to come back; None if that doesn't apply.
        sends: how often the request was sent.
        steps: the decisions on its way.
        due_at: when it was to be given; a busy process gives it later.
        fingerprint: of the request.
    """

    token: int
    request_id: str
    route: Route
    ending: Ending
    elapsed_s: float
    sends: int
    answer: SearcherAnswer | None = None
    merged: Merged | None = None
    retry_after_s: float | None = None
    detail: str = ""
    steps: tuple[Step, ...] = ()
    due_at: float = 0.0
    fingerprint: bytes = b""
