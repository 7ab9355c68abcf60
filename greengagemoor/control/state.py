"""State of one member of the control group, shared by its systems."""

from __future__ import annotations

import enum
import random
from collections import deque
from typing import TYPE_CHECKING

import attrs

from greengagemoor.control.log import Log
from greengagemoor.control.machine import Machine
from greengagemoor.control.messages import HardState, Persist, Send
from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.control.commands import LogEntry, Member, Snapshot
    from greengagemoor.control.documents import ApplyResult
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


@values.frozen
class Held:
    """Something that must wait for a sync: a message, or the own vote."""

    op: int
    send: Send | None = None
    vote_term: int = 0


@attrs.define(eq=False, repr=False)
class Disk:
    """What has been handed to the disk, and what is known to be synced.

    Attributes:
        op: last operation handed over.
        synced_op: last operation known to be synced.
        synced_index: last log index known to be synced.
        under_way: (op, last log index) of operations not yet synced.
    """

    op: int = 0
    synced_op: int = 0
    synced_index: int = 0
    under_way: deque[tuple[int, int]] = attrs.field(factory=deque)
    hard_changed: bool = False
    entries: list[LogEntry] = attrs.field(factory=list)
    snapshot: Snapshot | None = None
    held: deque[Held] = attrs.field(factory=deque)
    new_held: list[Held] = attrs.field(factory=list)


@attrs.define(eq=False, repr=False)
class Joining:
    """What a process outside a group knows of its way into one.

    Attributes:
        since: when it began to ask; None while it has no reason to.
        tell_at: when operators are told next.
        asked: instances that were asked last.
        replies: the group of each instance that answered, '' for none.
    """

    since: float | None = None
    tell_at: float = 0.0
    asked: tuple[str, ...] = ()
    replies: dict[str, str] = attrs.field(factory=dict)


@attrs.define(eq=False, repr=False)
class State:
    """One member: its durable fields, its role and its output of a tick."""

    instance: str
    member_id: str
    address: str
    peers: dict[str, str]
    rng: random.Random
    timing: Timing = attrs.field(factory=Timing)
    new_group: bool = False
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
    join_at: float = 0.0
    started_at: float = 0.0
    joining: Joining = attrs.field(factory=Joining)
    failure: str = ""
    # Candidate.
    pre_vote: bool = False
    votes: set[str] = attrs.field(factory=set)
    # Leader.
    progress: dict[str, Progress] = attrs.field(factory=dict)
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


def flush(state: State) -> None:
    """Hands the tick's writes to the disk and releases what was synced."""
    disk = state.disk
    if disk.hard_changed or disk.entries or disk.snapshot:
        disk.op += 1
        hard = HardState(state.group, state.term, state.voted_for)
        if disk.snapshot:
            # The disk starts a new log behind a snapshot: it needs the whole
            # tail, since entries written before may belong to another log.
            disk.hard_changed = True
            start = disk.snapshot.index + 1
            disk.entries = list(state.log.slice(start, state.log.last_index))
        state.out.append(
            Persist(
                op=disk.op,
                hard=hard if disk.hard_changed else None,
                entries=tuple(disk.entries),
                snapshot=disk.snapshot,
            )
        )
        disk.under_way.append((disk.op, state.log.last_index))
        disk.hard_changed = False
        disk.entries = []
        disk.snapshot = None
    disk.held.extend(attrs.evolve(h, op=disk.op) for h in disk.new_held)
    disk.new_held = []


def note_replaced(state: State, index: int) -> None:
    """Takes back what counts as synced from ``index`` on.

    An operation still under way may name a last index whose entry has been
    replaced since; its sync says nothing of the new entry there.
    """
    disk = state.disk
    disk.synced_index = min(disk.synced_index, index - 1)
    disk.under_way = deque(
        (op, min(last, index - 1)) for op, last in disk.under_way
    )


def note_synced(state: State, op: int) -> list[Held]:
    """Takes in that ``op`` is synced; returns what waited for it."""
    disk = state.disk
    disk.synced_op = max(disk.synced_op, op)
    while disk.under_way and disk.under_way[0][0] <= op:
        _, disk.synced_index = disk.under_way.popleft()
    return release(state)


def release(state: State) -> list[Held]:
    """Returns held items whose sync is done, in order."""
    disk = state.disk
    released = []
    while disk.held and disk.held[0].op <= disk.synced_op:
        released.append(disk.held.popleft())
    return released
