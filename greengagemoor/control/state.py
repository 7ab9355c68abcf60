"""State of one member of the control group, shared by its systems."""

from __future__ import annotations

import enum
import random
from typing import TYPE_CHECKING

import attrs

from greengagemoor.control.log import Log
from greengagemoor.control.machine import Machine
from greengagemoor.control.messages import Send
from greengagemoor.control.writes import Disk, Held
from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.control.commands import LogEntry, Member, Snapshot
    from greengagemoor.control.documents import ApplyResult
    from greengagemoor.control.joinmessages import JoinReply
    from greengagemoor.control.ledger import ClaimAnswer
    from greengagemoor.control.messages import OpKind


class Role(enum.Enum):
    """What this member does now."""

    IDLE = "idle"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


@values.frozen
class Timing:
    """Intervals in seconds.

    Attributes:
        election: shortest time without a leader before an election; the
            longest is twice that.
        retire: how long a voter must be silent before it may be taken out,
            and a member must hear no leader before it asks to join anew.
    """

    heartbeat: float = 0.15
    election: float = 1.0
    join: float = 0.5
    confirm: float = 1.0
    retire: float = 10.0


@attrs.define(eq=False, repr=False)
class Progress:
    """What a leader knows of another member.

    Attributes:
        last_ack: when it last answered; at first, when the leader began.
        answered: whether it has answered this leader at all.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    last_ack: float = 0.0
    answered: bool = False
    snapshot_sent_at: float = float("-inf")


@values.frozen
class PendingOp:
    """An operation in the log whose asker waits for its result."""

    asker: str
    op_id: int
    kind: OpKind
    term: int


@values.frozen
class PendingRead:
    """A read that waits for a quorum to confirm the leader."""

    asker: str
    op_id: int
    known_version: int
    round: int
    kind: OpKind


@values.frozen
class Applied:
    """A committed entry and what the state machines said of it."""

    entry: LogEntry
    result: ApplyResult | ClaimAnswer | None


@attrs.define(eq=False, repr=False)
class Joining:
    """What a process outside a group knows of its way into one.

    Attributes:
        since: when it began to ask; None while it has no reason to.
        tell_at: when operators are told next.
        ask_at: when it asks next.
        round: how often it has asked since its start.
        asks: how often it has asked since ``since``.
        turn: who is asked next, in the order of what is known.
        asked: instances that were asked last.
        leader: instance that was last said to lead.
        contacts: addresses of members by instance, as others told them.
        replies: the last reply of each instance that answered.
    """

    since: float | None = None
    tell_at: float = 0.0
    ask_at: float = 0.0
    round: int = 0
    asks: int = 0
    turn: int = 0
    asked: tuple[str, ...] = ()
    leader: str = ""
    contacts: dict[str, str] = attrs.field(factory=dict)
    replies: dict[str, JoinReply] = attrs.field(factory=dict)


@values.frozen
class Joiner:
    """A process that asked the leader to be taken in."""

    member: Member
    asked_at: float


@attrs.define(eq=False, repr=False)
class State:
    """One member: its durable fields, its role and its output of a tick.

    Attributes:
        peers: peer addresses of the settings' other control instances.
        founders: those with which this one may found a group; None when it
            was not told to.
    """

    instance: str
    member_id: str
    address: str
    peers: dict[str, str]
    rng: random.Random
    timing: Timing = attrs.field(factory=Timing)
    founders: dict[str, str] | None = None
    now: float = 0.0
    out: list = attrs.field(factory=list)
    disk: Disk = attrs.field(factory=Disk)
    # Durable.
    group: str = ""
    term: int = 0
    voted_for: str = ""
    log: Log = attrs.field(factory=Log)
    snapshot: Snapshot | None = None
    # Rebuilt after a start.
    role: Role = Role.IDLE
    leader: str = ""
    commit: int = 0
    applied: int = 0
    machine: Machine = attrs.field(factory=Machine)
    members: dict[str, Member] = attrs.field(factory=dict)
    members_index: int = 0
    members_reason: str = ""
    told_members: dict[str, Member] = attrs.field(factory=dict)
    heard_leader_at: float = float("-inf")
    election_at: float = 0.0
    started_at: float = 0.0
    joining: Joining = attrs.field(factory=Joining)
    failure: str = ""
    # Candidate.
    pre_vote: bool = False
    votes: set[str] = attrs.field(factory=set)
    # Leader.
    progress: dict[str, Progress] = attrs.field(factory=dict)
    joiners: dict[str, Joiner] = attrs.field(factory=dict)
    round: int = 0
    heartbeat_at: float = 0.0
    broadcast_due: bool = False
    term_start_index: int = 0
    confirm_at: float = 0.0
    confirmed_round: int = 0
    pending: dict[int, PendingOp] = attrs.field(factory=dict)
    reads: list[PendingRead] = attrs.field(factory=list)
    results: list[Applied] = attrs.field(factory=list)

    @property
    def voters(self) -> list[str]:
        """Member ids that vote."""
        return [m.member_id for m in self.members.values() if m.voter]

    @property
    def is_voter(self) -> bool:
        """Whether this member votes under the newest list it knows."""
        own = self.members.get(self.member_id)
        return own is not None and own.voter

    @property
    def leader_instance(self) -> str:
        """Instance of the leader, '' if none is known."""
        return self.leader.partition("#")[0]

    def quorum_of(self, count: int) -> bool:
        """Tells whether ``count`` voters are a majority."""
        return count > len(self.voters) // 2

    def send(self, member_id: str, payload: object) -> None:
        """Sends to a member at once."""
        self.out.append(self._to(member_id, payload))

    def send_after_sync(self, member_id: str, payload: object) -> None:
        """Sends to a member once all that was written so far is synced.

        A vote or an acknowledgement that outruns its sync is forgotten by a
        crash after others have counted it: two leaders of one term, or an
        accepted document lost.
        """
        self.disk.new_held.append(Held(0, send=self._to(member_id, payload)))

    def _to(self, member_id: str, payload: object) -> Send:
        member = self.members.get(member_id)
        return Send(
            to=member_id.partition("#")[0],
            payload=payload,
            address=member.address if member else "",
        )

    def set_members(self, reason: str) -> None:
        """Takes the member list from the newest entry of the log.

        Args:
            reason: why it may have changed, for operators.
        """
        members = self.log.members_at(self.log.last_index)
        self.members = {member.member_id: member for member in members}
        self.members_index = self.log.last_members_index()
        self.members_reason = reason

    def reset_election(self) -> None:
        """Sets the next election time, spread so that few collide."""
        spread = self.timing.election * (1 + self.rng.random())
        self.election_at = self.now + spread
