"""State of one control group member, shared by the control modules."""

from __future__ import annotations

import enum
import random
from typing import TYPE_CHECKING

import attrs

from greengagemoor.control.disk_writes import AwaitingSync, DiskWrites
from greengagemoor.control.log import Log
from greengagemoor.control.messages import Send
from greengagemoor.control.replicated_state import ReplicatedState
from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.control.commands import LogEntry, Member, Snapshot
    from greengagemoor.control.documents import ApplyResult
    from greengagemoor.control.join_messages import JoinReply
    from greengagemoor.control.ledger import ClaimAnswer
    from greengagemoor.control.messages import OpKind


class Role(enum.Enum):
    """Role of a member within its group.

    Attributes:
        IDLE: outside any group.
        FAILED: a write failed; the member sends nothing until a restart.
    """

    IDLE = "idle"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


@values.frozen
class Timing:
    """Intervals in seconds.

    Attributes:
        election: minimum time without a leader before an election; the
            maximum is twice that.
        join: interval between rounds of join requests, before any backoff.
        confirm: shortest interval between two ``VersionConfirmed`` messages.
        silence_timeout: how long a member must be silent before the leader may
            remove it, and how long a voter must be without a leader before it
            asks to join again.
    """

    heartbeat: float = 0.15
    election: float = 1.0
    join: float = 0.5
    confirm: float = 1.0
    silence_timeout: float = 10.0


@attrs.define(eq=False, repr=False)
class Progress:
    """The leader's replication state for another member.

    Attributes:
        last_ack: time of its last reply; before the first, the time when this
            record was created.
        answered: whether it has replied to this leader at all.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    last_ack: float = 0.0
    answered: bool = False
    snapshot_sent_at: float = float("-inf")


@values.frozen
class PendingOp:
    """An operation in the log whose requester waits for its result."""

    requester: str
    op_id: int
    kind: OpKind
    term: int


@values.frozen
class PendingRead:
    """A read that waits until a quorum confirms the leader."""

    requester: str
    op_id: int
    known_version: int
    round: int
    kind: OpKind


@values.frozen
class Applied:
    """A committed entry and its result from the state machine."""

    entry: LogEntry
    result: ApplyResult | ClaimAnswer | None


@attrs.define(eq=False, repr=False)
class JoinProgress:
    """Progress of a process that asks to join a group.

    Attributes:
        waiting_since: when it began to ask; None while it does not need to
            join.
        next_notice_at: when the next ``JoinPending`` notice is due.
        next_request_at: when the next round of join requests is due.
        round: rounds of requests since the process started.
        rounds_since_waiting: rounds of requests since ``waiting_since``.
        next_target: position of the next target in the list of known instances.
        last_targets: instances asked in the last round.
        leader: instance last reported as leader.
        contacts: addresses by instance, learnt from join replies, gossip and
            senders of group messages.
        replies: the last reply of each instance.
    """

    waiting_since: float | None = None
    next_notice_at: float = 0.0
    next_request_at: float = 0.0
    round: int = 0
    rounds_since_waiting: int = 0
    next_target: int = 0
    last_targets: tuple[str, ...] = ()
    leader: str = ""
    contacts: dict[str, str] = attrs.field(factory=dict)
    replies: dict[str, JoinReply] = attrs.field(factory=dict)


@values.frozen
class Joiner:
    """A process that asked the leader to be added to the group."""

    member: Member
    requested_at: float


@attrs.define(eq=False, repr=False)
class State:
    """One member: its durable fields, its role and the output of a tick.

    Attributes:
        peers: addresses of the other control instances in the settings.
        founders: addresses of the instances with which this one may found a
            group; None if it may not.
        members_index: log index of the entry that set ``members``; if it is
            trimmed, that of the last trimmed entry.
        members_reason: why ``members`` last changed, for operators.
        reported_members: the list last reported by ``MembersChanged``.
        round: number of the last broadcast.
        term_start_index: log index of the first entry of the leader's term.
        confirm_at: earliest time of the next ``VersionConfirmed``.
        confirmed_round: newest round that a majority answered, as last
            processed.
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
    disk: DiskWrites = attrs.field(factory=DiskWrites)
    # Durable.
    group: str = ""
    term: int = 0
    voted_for: str = ""
    log: Log = attrs.field(factory=Log)
    snapshot: Snapshot | None = None
    # Volatile, rebuilt after a restart.
    role: Role = Role.IDLE
    leader: str = ""
    commit: int = 0
    applied: int = 0
    machine: ReplicatedState = attrs.field(factory=ReplicatedState)
    members: dict[str, Member] = attrs.field(factory=dict)
    members_index: int = 0
    members_reason: str = ""
    reported_members: dict[str, Member] = attrs.field(factory=dict)
    last_leader_contact_at: float = float("-inf")
    election_at: float = 0.0
    started_at: float = 0.0
    joining: JoinProgress = attrs.field(factory=JoinProgress)
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
        """Whether this member is a voter in the newest list of its log."""
        own = self.members.get(self.member_id)
        return own is not None and own.voter

    @property
    def leader_instance(self) -> str:
        """Instance of the leader, '' if none is known."""
        return self.leader.partition("#")[0]

    def quorum_of(self, count: int) -> bool:
        """Returns whether ``count`` voters are a majority."""
        return count > len(self.voters) // 2

    def send(self, member_id: str, payload: object) -> None:
        """Sends to a member without waiting for a sync."""
        self.out.append(self._make_send(member_id, payload))

    def send_after_sync(self, member_id: str, payload: object) -> None:
        """Sends to a member once all writes so far are synced.

        If a vote or an acknowledgement were sent before its sync, a crash
        could lose it after others have counted it: two leaders in one term,
        or an accepted document lost.
        """
        self.disk.new_awaiting_sync.append(
            AwaitingSync(0, send=self._make_send(member_id, payload))
        )

    def _make_send(self, member_id: str, payload: object) -> Send:
        member = self.members.get(member_id)
        return Send(
            to=member_id.partition("#")[0],
            payload=payload,
            address=member.address if member else "",
        )

    def set_members(self, reason: str) -> None:
        """Sets the member list to the newest one in the log.

        Args:
            reason: why it may have changed, for operators.
        """
        members = self.log.members_at(self.log.last_index)
        self.members = {member.member_id: member for member in members}
        self.members_index = self.log.last_members_index()
        self.members_reason = reason

    def reset_election(self) -> None:
        """Sets a random next election time, so that few elections collide."""
        spread = self.timing.election * (1 + self.rng.random())
        self.election_at = self.now + spread
