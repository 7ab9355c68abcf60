"""Members, log entries and the commands of the replicated log.

Times are unix seconds.
"""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class Member:
    """A member of the control group.

    Attributes:
        member_id: ``instance#identity``; the identity is made with the data
            folder, so a member that lost its disk comes back as another one.
        voter: whether it votes and counts for a quorum.
    """

    member_id: str
    instance: str
    address: str
    voter: bool


@values.frozen
class NoOp:
    """Opens a leader's term and moves the group's time forward."""

    time: float


@values.frozen
class ApplyDocument:
    """Replaces document version ``replaces`` by ``text``."""

    apply_id: str
    replaces: int
    text: str
    time: float


@values.frozen
class Claim:
    """Claims the right to send a request once.

    Attributes:
        claim_id: names one try of one entry process; the same try may be
            proposed twice when a reply is lost.
        issued_at: when the caller made the request id.
        valid_for_s: after this time the claimant no longer sends.
    """

    caller: str
    request_id: str
    claim_id: str
    issued_at: float
    valid_for_s: float
    time: float


@values.frozen
class RecordOutcome:
    """Records how a claimed request ended."""

    caller: str
    request_id: str
    claim_id: str
    code: int
    outcome: str
    time: float


@values.frozen
class ChangeMembers:
    """Replaces the member list; it differs by one voter at most."""

    members: tuple[Member, ...]
    time: float


@values.frozen
class PutDocument:
    """Stores a document under a number that the operator chose.

    Attributes:
        number: the highest number that was ever put is in force.
        packed: the document's text, compressed: a log keeps hundreds of them.
    """

    number: int
    packed: bytes
    time: float


@values.frozen
class SetEvacuation:
    """Evacuates a data centre, or takes that back.

    Attributes:
        active: whether its searchers are to get nothing from now on.
        replaces: number of the latest change that was known where the order
            came in.
    """

    data_centre: str
    active: bool
    replaces: int
    time: float


Command = (
    NoOp
    | ApplyDocument
    | Claim
    | RecordOutcome
    | ChangeMembers
    | PutDocument
    | SetEvacuation
)


@values.frozen
class LogEntry:
    """One entry of the replicated log."""

    index: int
    term: int
    command: Command


@values.frozen
class Snapshot:
    """The state machines after ``index``, as bytes.

    Attributes:
        members: the member list in force at ``index``.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes
