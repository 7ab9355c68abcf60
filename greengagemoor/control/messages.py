"""Messages of the control group.

Payloads are sent between instances as protobuf messages of the same names
(wire/peers.proto). Times are unix seconds.
"""

from __future__ import annotations

import enum

import attrs

from greengagemoor.control.commands import Command, LogEntry, Snapshot
from greengagemoor.control.evacuations import Evacuation
from greengagemoor.control.join_messages import JoinReply, JoinRequest
from greengagemoor.util import values

# Between members of the group. ``source`` and ``target`` are member ids, as an
# instance must not process messages for the identity that it had before it lost
# its disk.


@values.frozen
class VoteRequest:
    """Requests a vote, or with ``pre`` a pre-vote."""

    group: str
    source: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool


@values.frozen
class VoteReply:
    """Grants or refuses a vote.

    Attributes:
        term: the voter's term.
        for_term: the term of the request.
    """

    group: str
    source: str
    target: str
    term: int
    for_term: int
    granted: bool
    pre: bool


@values.frozen
class AppendRequest:
    """Entries after ``prev_index``, or a heartbeat without any.

    Attributes:
        round: increases with each broadcast; a quorum of replies to a round
            confirms that the sender was leader when the round started.
    """

    group: str
    source: str
    target: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    round: int


@values.frozen
class AppendReply:
    """Replies to an append or a snapshot once it is synced.

    Attributes:
        match_index: if ``ok``, the highest index known to match the leader's
            log; otherwise the highest index that may match it.
        last_index: the follower's last index.
    """

    group: str
    source: str
    target: str
    term: int
    ok: bool
    match_index: int
    last_index: int
    round: int


@values.frozen
class InstallSnapshot:
    """Whole state, for a member whose next entries were trimmed."""

    group: str
    source: str
    target: str
    term: int
    snapshot: Snapshot
    round: int


# Between any instance and the group.


class OpKind(enum.Enum):
    """Kind of an operation requested from the leader."""

    APPLY = "apply"
    READ = "read"
    CLAIM = "claim"
    OUTCOME = "outcome"
    REMOVE_MEMBER = "remove_member"
    PUT = "put"
    READ_NUMBERED = "read_numbered"
    EVACUATE = "evacuate"


@values.frozen
class OpRequest:
    """Requests one operation from the leader.

    Attributes:
        op_id: chosen by the requester; echoed in the reply.
        command: the command to append; None for reads and REMOVE_MEMBER.
        known_version: the requester's document version; READ returns the text
            only if it is newer.
        member_id: the member to remove, for REMOVE_MEMBER.
    """

    op_id: int
    kind: OpKind
    command: Command | None = None
    known_version: int = 0
    member_id: str = ""


@values.frozen
class OpReply:
    """The leader's result, or NOT_LEADER from another member.

    Attributes:
        code: a ``codes.Code``; after NOT_LEADER, retry at ``leader``.
        version: document version after the operation, or the current one.
        text: document text, or the recorded outcome of a claim.
        winner: apply id accepted for the version that the apply asked for;
            after a conflict that of another apply, '' if it is not known.
        verdict: a ``codes.ClaimVerdict`` value, for CLAIM.
        detail: faults, one per line.
        packed: the numbered document, compressed, for READ_NUMBERED.
        evacuations: the latest state of each data centre, for READ_NUMBERED.
    """

    op_id: int
    code: int
    leader: str = ""
    version: int = 0
    text: str = ""
    winner: str = ""
    verdict: str = ""
    detail: str = ""
    packed: bytes = attrs.field(default=b"", repr=False)
    evacuations: tuple[Evacuation, ...] = attrs.field(default=(), repr=False)


# Between the decider and its storage.


@values.frozen
class HardState:
    """Durable fields of a member besides the log: group, term and vote."""

    group: str
    term: int
    voted_for: str


@values.frozen
class Persist:
    """Writes to be done in order and synced once, then ``Persisted(op)``.

    Attributes:
        entries: an entry at or below the last index replaces the log's tail.
        snapshot: the whole log is replaced by the snapshot, ``hard`` and
            ``entries``.
    """

    op: int
    hard: HardState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@values.frozen
class Persisted:
    """All writes up to and including ``op`` are synced."""

    op: int


@values.frozen
class PersistFailed:
    """A write or sync failed; nothing from ``op`` on is durable."""

    op: int
    reason: str


@values.frozen
class Recovered:
    """Contents of the data folder at start."""

    hard: HardState | None
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]


# Between the decider and the rest of the process.


@values.frozen
class Send:
    """A payload to be sent to another instance, by name.

    Attributes:
        address: peer address if the sender knows it, else ''.
    """

    to: str
    payload: object
    address: str = ""


@values.frozen
class Received:
    """A payload received from another instance.

    Attributes:
        address: peer address given by the sender, else ''.
    """

    sender: str
    payload: object
    address: str = ""


@values.frozen
class DocumentAccepted:
    """This member applied a committed document."""

    version: int
    text: str


@values.frozen
class NumberedDocumentAccepted:
    """This member applied a committed document with an operator's number."""

    number: int
    packed: bytes


@values.frozen
class EvacuationsAccepted:
    """This member applied committed starts or ends of evacuations."""

    rows: tuple[Evacuation, ...]


@values.frozen
class VersionConfirmed:
    """A quorum confirmed that ``version`` was current.

    Attributes:
        stamp: (term, round), which increases with each confirmation.
    """

    group: str
    stamp: tuple[int, int]
    version: int


MEMBER_PAYLOADS = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    InstallSnapshot,
    JoinRequest,
    JoinReply,
    OpRequest,
)
"""Payloads that the control decider accepts from other instances."""
