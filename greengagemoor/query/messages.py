"""Messages into and out of the query decider; times are seconds."""

from __future__ import annotations

import enum

import attrs

from greengagemoor.backends import BackendServer, ServerState
from greengagemoor.codes import ClaimVerdict, Code
from greengagemoor.document import Document


class Failure(enum.Enum):
    """How an attempt ended without an answer that can be used."""

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
    """A caller's request, as the shell read it.

    Attributes:
        token: names the waiting connection; unique in this process.
        deadline: absolute, on the decider's clock.
        key: targets one shard; None asks every shard.
        body: JSON text that the searchers get unread.
        least_snapshot: oldest index version that the caller accepts, so that
            it does not go back behind what it saw at any entry.
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
    """The connection behind ``token`` closed; nobody reads the answer."""

    token: int


@attrs.frozen
class ShardResult:
    """What one shard answered, as JSON text."""

    shard: int
    value: str


@attrs.frozen
class AttemptAnswer:
    """A searcher's answer; it echoes what it answers."""

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
    """A searcher is new or changed.

    Attributes:
        share: connections this entry may hold to it.
    """

    server: BackendServer
    share: int


@attrs.frozen
class ServerGone:
    """A searcher has left or fallen silent."""

    name: str
    service: str


@attrs.frozen
class DocumentChanged:
    """A newer accepted document is in force here.

    Attributes:
        confirmed: False while its freshness can't be confirmed.
    """

    version: int
    document: Document


@attrs.frozen
class DrainSeen:
    """A searcher said in an answer that it drains; spread the word."""

    service: str
    name: str
    incarnation: int


@attrs.frozen
class ControlReady:
    """Whether the control group confirmed itself a short time ago."""

    ready: bool


@attrs.frozen
class ClaimWanted:
    """Asks the ledger for the right to send a request once."""

    token: int
    caller: str
    request_id: str


@attrs.frozen
class ClaimDecided:
    """The ledger's answer to ``ClaimWanted``.

    Attributes:
        send_before: absolute time after which a granted claim must not send.
        outcome: recorded answer, as JSON text, when the verdict is DONE.
    """

    token: int
    caller: str
    request_id: str
    verdict: ClaimVerdict
    send_before: float = 0.0
    outcome: str = ""


@attrs.frozen
class OutcomeKnown:
    """The outcome of a claimed request, to be recorded in the ledger.

    Attributes:
        token: of the ``ClaimWanted`` that was granted.
    """

    token: int
    caller: str
    request_id: str
    code: Code
    outcome: str


@attrs.frozen
class StartAttempt:
    """Send an attempt to a searcher.

    Attributes:
        deadline: absolute; the shell ends the attempt then.
        send_before: absolute; the shell must not send after it.
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
    """A shard that an answer does not reflect, and why."""

    shard: int
    reason: str


@attrs.frozen
class Coverage:
    """Which shards of the snapshot an answer reflects."""

    shards: int
    reflected: tuple[int, ...]
    missing: tuple[MissingShard, ...]


@attrs.frozen
class Answer:
    """The whole final answer to one request."""

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
    """Give ``answer`` to the connection behind ``token``."""

    token: int
    caller: str
    request_class: str
    answer: Answer
    elapsed_s: float
