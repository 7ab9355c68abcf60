"""Messages of the control group.

Payloads travel between processes of ours as protobuf messages of the same
names (wire/peers.proto). Times are unix seconds.
"""

from __future__ import annotations

import enum

import attrs

from greengagemoor.control.commands import Command, LogEntry, Snapshot
from greengagemoor.control.evacuations import Evacuation
from greengagemoor.control.joinmessages import JoinReply, JoinRequest
from greengagemoor.util import values

# Between members of the group. ``source`` and ``target`` are member ids: a
# message for the identity that an instance had before it lost its disk must
# not reach the identity that it has now.


@values.frozen
class VoteRequest:
    """Asks for a vote; with ``pre`` only whether it would be given."""

    group: str
    source: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool


@values.frozen
class VoteReply:
    """Gives or refuses a vote; ``term`` is the voter's."""

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
        round: grows with each heartbeat round; a quorum of replies to a round
            confirms that the leader led when it started.
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
    """Answers an ``AppendRequest`` after its entries are synced.

    Attributes:
        match_index: highest index known equal to the leader's, if ``ok``;
            otherwise the highest that may be.
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
    """Whole state for a member whose next entries are trimmed."""

    group: str
    source: str
    target: str
    term: int
    snapshot: Snapshot
    round: int


# Between any process of ours and the group.


class OpKind(enum.Enum):
    """What is asked of the leader."""

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
    """Asks the leader for one operation.

    Attributes:
        op_id: chosen by the asker; echoed in the reply.
        command: what to append; None for READ.
        known_version: the asker's document version, so that READ sends the
            text only when it is newer.
        member_id: the member to take out, for REMOVE_MEMBER.
    """

    op_id: int
    kind: OpKind
    command: Command | None = None
    known_version: int = 0
    member_id: str = ""


@values.frozen
class OpReply:
    """The leader's reply, or another member's that it does not lead.

    Attributes:
        code: a ``codes.Code``; NOT_LEADER asks to try ``leader``.
        version: document version after the operation, or current.
        text: document text, or the recorded outcome of a claim.
        winner: apply id that won the version, for a conflict.
        verdict: a ``codes.ClaimVerdict`` value for CLAIM.
        detail: faults, one a line.
        packed: the numbered document, compressed, for READ_NUMBERED.
        evacuations: the latest word on each data centre, for READ_NUMBERED.
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


# Between the decider and its disk.


@values.frozen
class HardState:
    """What a member must not forget: its group, term and vote."""

    group: str
    term: int
    voted_for: str


@values.frozen
class Persist:
    """Write these in order, sync once, then say ``Persisted(op)``.

    Attributes:
        entries: an entry at or below the last index replaces the log's tail.
        snapshot: replaces the whole log by itself, ``hard`` and ``entries``.
    """

    op: int
    hard: HardState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@values.frozen
class Persisted:
    """Everything up to and including ``op`` is synced."""

    op: int


@values.frozen
class PersistFailed:
    """A write or sync failed; nothing from ``op`` on is durable."""

    op: int
    reason: str


@values.frozen
class Recovered:
    """What the data folder held at start."""

    hard: HardState | None
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]


# To other deciders and the shell.


@values.frozen
class Send:
    """Send a payload to another process of ours, by instance name.

    Attributes:
        address: peer address when it is known to the sender, else ''.
    """

    to: str
    payload: object
    address: str = ""


@values.frozen
class Received:
    """A payload came from another process of ours.

    Attributes:
        address: where the sender takes in messages, if it said so.
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
class NumberedAccepted:
    """This member applied a committed document numbered by the operator."""

    number: int
    packed: bytes


@values.frozen
class EvacuationsAccepted:
    """This member applied committed evacuations, or ends of them."""

    rows: tuple[Evacuation, ...]


@values.frozen
class Confirmed:
    """A quorum confirmed that ``version`` was current.

    Attributes:
        stamp: (term, round); later confirmations compare greater.
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
"""What the control decider takes from other processes."""
