"""Messages of the forward decider; times are seconds of the process clock."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.codes import ClaimVerdict
    from greengagemoor.feed.messages import SearcherKey
    from greengagemoor.routing.accounts import ClientAccount
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
    NOT_RUN_QUOTA = "not_run_quota"
    NOT_RUN_NO_QUOTA = "not_run_no_quota"
    NOT_RUN_OVERLOAD = "not_run_overload"
    NOT_RUN_LEAVING = "not_run_leaving"
    CALLER_GONE = "caller_gone"


NOT_RUN = frozenset(
    {
        Ending.NOT_RUN_NO_SEARCHER,
        Ending.NOT_RUN_BUSY,
        Ending.NOT_RUN_REFUSED,
        Ending.NOT_RUN_DEADLINE,
        Ending.NOT_RUN_SUSPECT,
        Ending.NOT_RUN_QUARANTINED,
        Ending.NOT_RUN_QUOTA,
        Ending.NOT_RUN_NO_QUOTA,
        Ending.NOT_RUN_OVERLOAD,
        Ending.NOT_RUN_LEAVING,
    }
)


class Outcome(enum.Enum):
    """The result of one send.

    ``NOT_RUN``: the searcher guarantees that it has not run the request.
    ``NOT_SENT``: no connection was established, so nothing of the request left
    this process. ``WRONG_SEARCHER``: another process has the searcher's address
    and has not run the request. After ``BROKEN`` the request may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    WRONG_SEARCHER = "wrong_searcher"
    BROKEN = "broken"


class StepKind(enum.Enum):
    """A kind of decision about a request.

    ``QUOTA``: it was held until the quota of its account was known.
    """

    QUOTA = "quota"
    SENT = "sent"
    SENT_BESIDE = "sent_beside"
    SHARED = "shared"
    TAKEN_BACK = "taken_back"
    WAITS = "waits"
    HELD = "held"
    TRIAL = "trial"
    REFUSED = "refused"
    ENDED = "ended"


@values.frozen
class Step:
    """One decision, with the values that led to it.

    Attributes:
        after_s: seconds since the request arrived.
        cost: expected time of the searcher in medians of the route; the lowest
            of all candidates.
        own: sends of this entry in flight at the searcher before this one.
        others: requests of other entries there, as it last reported.
        load_age_s: age of that report in seconds.
        note: the outcome of a send that ended; the reason of a refusal.
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


# Input messages.


@values.frozen
class Arrived:
    """A caller's request that has a route.

    Attributes:
        token: identifies the request until its ``Respond``.
        remaining_wait_s: how long the caller still waits; None if not stated.
        fingerprint: equal for requests with the same content.
        network_s: network time that the caller's clock includes, from its first
            packet until it has the answer; None if not known.
        account: the client account, None if there is none.
        held_s: time since the request arrived at this process.
    """

    token: int
    request_id: str
    route: Route
    remaining_wait_s: float | None
    fingerprint: bytes = b""
    network_s: float | None = None
    account: ClientAccount | None = None
    held_s: float = 0.0


@values.frozen
class CallerGone:
    """The caller closed its connection before the answer."""

    token: int


@values.frozen
class AnswerWritten:
    """The answer to a gather was written to its caller.

    Attributes:
        delay_s: time since the answer was due.
    """

    delay_s: float


@values.frozen
class SearcherLoad:
    """Request counts that a searcher reported with an answer."""

    running: int
    waiting: int
    slots: int
    work_percent: int = 100


@values.frozen
class SearcherAnswer:
    """A complete answer of a searcher.

    Attributes:
        signature: proves to the caller that this searcher answered.
        headers: forwarded unchanged.
        is_plain: False if the body is encoded and therefore differs from the
            body that the searcher signed.
        closes: the searcher closes the connection, as it does on shutdown.
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
            answer: the searcher had closed it without notice.
        response_began: part of an answer had arrived.
        answer: set for ``ANSWERED`` and ``NOT_RUN``.
    """

    attempt_id: int
    outcome: Outcome
    answer: SearcherAnswer | None = None
    stale: bool = False
    reason: str = ""
    response_began: bool = False


@values.frozen
class ProbeEnded:
    """The result of a connection attempt to a searcher's address.

    Attributes:
        refused: nothing listens there, so the searcher has ended.
    """

    searcher: SearcherKey
    refused: bool


@values.frozen
class ShutdownStarted:
    """The entry is shutting down.

    Attributes:
        ends_at: when the last answers are due.
    """

    ends_at: float


@values.frozen
class TrialVerdict:
    """The control group's verdict on a claim to a trial."""

    wanted: ClaimTrial
    verdict: ClaimVerdict


# Output messages.


@values.frozen
class ProbeSearcher:
    """Connects to a searcher and closes at once, to see if it listens."""

    searcher: SearcherKey
    address: str


@values.frozen
class ClaimTrial:
    """Claims the right to try a suspect request once, for all entries.

    Attributes:
        epoch: epoch of the request's row; trials are numbered per epoch.
        number: number of the trial.
        claim: id of the claim, the same if it is repeated for this trial.
        valid_for_s: time within which the trial must begin.
    """

    fingerprint: bytes
    epoch: int
    number: int
    claim: int
    valid_for_s: float


@values.frozen
class StartAttempt:
    """Sends the caller's request to a searcher."""

    attempt_id: int
    token: int
    request_id: str
    searcher_id: str
    address: str
    deadline: float


@values.frozen
class CancelAttempt:
    """Closes the connection of a send; the searcher drops the request."""

    attempt_id: int


@values.frozen
class CloseIdle:
    """Closes the idle connections to an address.

    The searcher there has restarted, or its data centre is evacuated.
    """

    address: str


@values.frozen
class ReleaseTrialClaim:
    """Releases a granted claim under which nothing was sent."""

    wanted: ClaimTrial


@values.frozen
class Merged:
    """The merged answer to a gather.

    Attributes:
        signatures: signatures of the searchers whose records are included.
        missing: number of shards without an answer.
    """

    body: bytes
    signatures: tuple[str, ...]
    missing: int


@values.frozen
class Respond:
    """The final answer to a request.

    Attributes:
        answer: a searcher's answer, forwarded unchanged.
        merged: the answer to a gather.
        retry_after_s: when the caller should retry; None if not applicable.
        sends: how often the request was sent.
        steps: the decisions made about the request.
        due_at: when the answer was due; a busy process gives it later.
        fingerprint: fingerprint of the request.
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
