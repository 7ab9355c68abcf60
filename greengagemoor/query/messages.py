"""Messages to and from the query decider; times are in seconds."""

from __future__ import annotations

import enum

import attrs

from greengagemoor.backends import BackendServer, ServerState
from greengagemoor.codes import ClaimVerdict, Code
from greengagemoor.document import Document


class Failure(enum.Enum):
    """Why an attempt ended without a usable answer."""

    NOT_SENT = "not_sent"
    SHED = "shed"
    DRAINING = "draining"
    VERSION_GONE = "version_gone"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    MISMATCH = "mismatch"
    ERROR = "error"
    CANCELLED = "cancelled"

    @property
    def is_not_run(self) -> bool:
        """Whether the backend server certainly did not run the attempt."""
        return self in _NOT_RUN_FAILURES


_NOT_RUN_FAILURES = frozenset(
    {
        Failure.NOT_SENT,
        Failure.SHED,
        Failure.DRAINING,
        Failure.VERSION_GONE,
    }
)


@attrs.frozen
class Request:
    """A caller's request, as parsed by the shell.

    Attributes:
        token: identifies the waiting connection; unique in this process.
        deadline_s: seconds from receipt; None takes the class's default.
        key: selects one shard; None asks every shard.
        body: JSON text that is passed to the searchers unparsed.
        least_snapshot: oldest index version that the caller accepts, so that
            it does not see an older one than it saw at any entry instance.
    """

    token: int
    caller: str
    request_class: str
    request_id: str
    service: str
    deadline_s: float | None = None
    repeatable: bool = True
    key: str | None = None
    body: str = ""
    least_snapshot: int = -1


@attrs.frozen
class CallerGone:
    """The caller's connection of ``token`` closed before its answer."""

    token: int


@attrs.frozen
class ShardResult:
    """The result of one shard, as JSON text."""

    shard: int
    value: str


@attrs.frozen
class AttemptAnswer:
    """A searcher's answer, with the request id and snapshot it belongs to."""

    attempt_id: int
    request_id: str
    snapshot: int
    results: tuple[ShardResult, ...]
    server_state: ServerState | None = None


@attrs.frozen
class AttemptFailed:
    """An attempt ended without a usable answer."""

    attempt_id: int
    failure: Failure
    retry_after_s: float = 0.0
    server_state: ServerState | None = None


@attrs.frozen
class ServerChanged:
    """A searcher was added or changed.

    Attributes:
        share: connections this entry instance may hold to it.
    """

    server: BackendServer
    share: int


@attrs.frozen
class ServerGone:
    """A searcher left or stopped announcing itself."""

    name: str
    service: str


@attrs.frozen
class DocumentChanged:
    """A newer accepted document takes effect on this instance."""

    version: int
    document: Document


@attrs.frozen
class DrainReported:
    """Notifies membership of a drain that a searcher reported in an answer."""

    service: str
    name: str
    incarnation: int


@attrs.frozen
class ControlReady:
    """Whether the control group was recently confirmed to be reachable."""

    ready: bool


@attrs.frozen
class ClaimWanted:
    """Asks the ledger for a claim: the right to send a request once."""

    token: int
    caller: str
    request_id: str


@attrs.frozen
class ClaimDecided:
    """The ledger's answer to ``ClaimWanted``.

    Attributes:
        send_before: absolute time after which the request must not be sent.
        outcome: recorded answer, as JSON text, when the verdict is DONE.
    """

    token: int
    caller: str
    request_id: str
    verdict: ClaimVerdict
    send_before: float = 0.0
    outcome: str = ""


@attrs.frozen
class RecordOutcomeWanted:
    """The outcome of a claimed request, to be recorded in the ledger.

    Attributes:
        token: token of the ``ClaimWanted`` that was granted.
    """

    token: int
    caller: str
    request_id: str
    code: Code
    outcome: str


@attrs.frozen
class StartAttempt:
    """Sends an attempt to a searcher.

    Attributes:
        deadline: absolute time at which the shell ends the attempt.
        send_before: absolute time after which the shell must not send it.
    """

    attempt_id: int
    server: str
    address: str
    share: int
    service: str
    caller: str
    request_id: str
    snapshot: int
    shards: tuple[int, ...]
    deadline: float
    send_before: float
    repeatable: bool
    body: str


@attrs.frozen
class CancelAttempt:
    """The answer of an attempt is no longer needed."""

    attempt_id: int
    server: str
    address: str


@attrs.frozen
class MissingShard:
    """A shard without a result in an answer, and the reason."""

    shard: int
    reason: str


@attrs.frozen
class Coverage:
    """The shards of the snapshot with and without a result in an answer."""

    shards: int
    reflected: tuple[int, ...]
    missing: tuple[MissingShard, ...]


@attrs.frozen
class Answer:
    """The final answer to one request."""

    code: Code
    request_id: str
    snapshot: int | None = None
    coverage: Coverage = Coverage(0, (), ())
    results: tuple[ShardResult, ...] = ()
    attempts: int = 0
    retry_after_s: float | None = None
    detail: str = ""


@attrs.frozen
class Reply:
    """Sends ``answer`` to the caller's connection of ``token``."""

    token: int
    caller: str
    request_class: str
    answer: Answer
    elapsed_s: float
