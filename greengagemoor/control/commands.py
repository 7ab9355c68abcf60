"""Members, log entries and the commands of the replicated log.

Times are Unix seconds.
"""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class Member:
    """A member of the control group.

    Attributes:
        member_id: ``instance#identity``; the identity is created with the data
            folder, so an instance that lost its disk returns as a new member.
        voter: whether it votes and counts for a quorum.
    """

    member_id: str
    instance: str
    address: str
    voter: bool


@values.frozen
class NoOp:
    """First entry of a leader's term; advances the group's time."""

    time: float


@values.frozen
class ApplyDocument:
    """Replaces document version ``replaces`` with ``text``."""

    apply_id: str
    replaces: int
    text: str
    time: float


@values.frozen
class Claim:
    """Claims the right to send a request once.

    Attributes:
        claim_id: identifies one claim by one entry process; the same claim may
            be proposed twice when a reply is lost.
        issued_at: when the caller created the request id.
        valid_for_s: after this time the claimant no longer sends the
            request.
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
    """Replaces the member list; the voters differ by one at most."""

    members: tuple[Member, ...]
    time: float


@values.frozen
class PutDocument:
    """Stores a document under a number that the operator chose.

    Attributes:
        number: the document with the highest number is in force.
        packed: compressed document text; compressed because a log keeps
            hundreds of them.
    """

    number: int
    packed: bytes
    time: float


@values.frozen
class SetEvacuation:
    """Starts or ends the evacuation of a data centre.

    Attributes:
        active: whether its searchers receive no requests from now on.
        replaces: number of the latest change known to the instance that
            received the operator's command.
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
