"""Elections with pre-votes, and a leader that steps down without a quorum."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.codes import Code
from greengagemoor.control.commands import LogEntry, NoOp
from greengagemoor.control.messages import OpReply, Send, VoteReply, VoteRequest
from greengagemoor.control.state import Progress, Role
from greengagemoor.control.writes import Held

if TYPE_CHECKING:
    from greengagemoor.control.state import State

EARLY_SHARE = 0.08
"""Part of the election time that a member waits which has heard no leader since
its start: some ten round trips for a group in one region. What happens to come
at the same moment costs one more such wait."""


def become_follower(state: State, term: int, leader: str = "") -> None:
    """Follows; whoever waits for this member as a leader is told."""
    if term > state.term:
        state.term = term
        state.voted_for = ""
        state.disk.hard_changed = True
    if state.role is Role.LEADER:
        _end_leading(state)
    # A voter that no leader has reached yet gives its vote without belonging
    # to the group: until an entry reaches it, it may still be named by another.
    state.role = Role.FOLLOWER if state.group else Role.IDLE
    state.leader = leader
    state.votes.clear()


def _end_leading(state: State) -> None:
    """Tells askers that their operation may or may not be accepted."""
    for op in state.pending.values():
        _reply(state, op.asker, OpReply(op.op_id, Code.APPLY_UNKNOWN))
    for read in state.reads:
        _reply(state, read.asker, OpReply(read.op_id, Code.NOT_LEADER))
    state.pending.clear()
    state.reads.clear()
    state.progress.clear()
    state.joiners.clear()
    state.reset_election()


def _reply(state: State, asker: str, reply: OpReply) -> None:
    state.out.append(Send(asker, reply))


def tick(state: State) -> None:
    """Starts an election when no leader was heard for long enough."""
    if state.role is Role.LEADER:
        _check_quorum(state)
    elif state.role is not Role.IDLE and state.now >= state.election_at:
        set_next_election(state)
        if state.is_voter:
            _campaign(state, pre=True)


def set_next_election(state: State) -> None:
    """Sets the next election, soon while no leader was heard since the start.

    After a kill of all members nobody leads, and callers wait for each moment
    of it. A pre-vote that comes too early changes nothing: members that hear
    a leader refuse it.
    """
    state.reset_election()
    if state.heard_leader_at == float("-inf"):
        wait = (state.election_at - state.now) * EARLY_SHARE
        state.election_at = state.now + wait


def _check_quorum(state: State) -> None:
    """Steps down without recent replies from a quorum.

    A leader on the wrong side of a cut would go on telling callers that it
    leads; one would see two instances that both claim to.
    """
    oldest = state.now - state.timing.election
    heard = sum(
        voter == state.member_id or state.progress[voter].last_ack >= oldest
        for voter in state.voters
    )
    if not state.quorum_of(heard):
        become_follower(state, state.term)


def _campaign(state: State, *, pre: bool) -> None:
    """Asks for votes; a pre-vote changes nothing on any disk.

    Without pre-votes, a member that was cut off comes back with a higher
    term and unseats a good leader: one would see a leader change at every
    healed cut.
    """
    state.role = Role.CANDIDATE
    state.pre_vote = pre
    state.leader = ""
    state.votes = set()
    if not pre:
        state.term += 1
        state.voted_for = state.member_id
        state.disk.hard_changed = True
    _ask_for_votes(state)
    if pre:
        _count_vote(state, state.member_id)
    else:
        state.disk.new_held.append(Held(0, vote_term=state.term))


def _ask_for_votes(state: State) -> None:
    term = state.term + 1 if state.pre_vote else state.term
    for voter in state.voters:
        if voter == state.member_id:
            continue
        request = VoteRequest(
            group=state.group,
            source=state.member_id,
            target=voter,
            term=term,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre=state.pre_vote,
        )
        state.send_after_sync(voter, request)


def take_own_vote(state: State, term: int) -> None:
    """Counts the own vote, now that it is synced."""
    if state.term == term and state.role is Role.CANDIDATE:
        _count_vote(state, state.member_id)


def take_request(state: State, msg: VoteRequest) -> None:
    """Answers a request for a vote or a pre-vote."""
    if msg.pre:
        granted = _would_vote(state, msg)
    else:
        if msg.term > state.term:
            become_follower(state, msg.term)
        granted = _may_vote(state, msg)
        if granted:
            state.voted_for = msg.source
            state.disk.hard_changed = True
            state.reset_election()
    reply = VoteReply(
        group=msg.group,
        source=state.member_id,
        target=msg.source,
        term=state.term,
        for_term=msg.term,
        granted=granted,
        pre=msg.pre,
    )
    state.send_after_sync(msg.source, reply)


def _would_vote(state: State, msg: VoteRequest) -> bool:
    heard = state.now - state.heard_leader_at < state.timing.election
    leads = state.role is Role.LEADER
    return (
        msg.term > state.term
        and not heard
        and not leads
        and _is_up_to_date(state, msg)
    )


def _may_vote(state: State, msg: VoteRequest) -> bool:
    return (
        msg.term == state.term
        and state.voted_for in ("", msg.source)
        and state.role is not Role.LEADER
        and _is_up_to_date(state, msg)
    )


def _is_up_to_date(state: State, msg: VoteRequest) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (msg.last_term, msg.last_index) >= own


def take_reply(state: State, msg: VoteReply) -> None:
    """Counts a vote that belongs to the election under way."""
    if msg.term > state.term:
        become_follower(state, msg.term)
        return
    asked = state.term + 1 if state.pre_vote else state.term
    if (
        state.role is Role.CANDIDATE
        and msg.granted
        and msg.pre == state.pre_vote
        and msg.for_term == asked
    ):
        _count_vote(state, msg.source)


def _count_vote(state: State, voter: str) -> None:
    state.votes.add(voter)
    counted = sum(v in state.votes for v in state.voters)
    if not state.quorum_of(counted):
        return
    if state.pre_vote:
        _campaign(state, pre=False)
    else:
        _become_leader(state)


def _become_leader(state: State) -> None:
    state.role = Role.LEADER
    state.leader = state.member_id
    state.progress = {
        member_id: Progress(
            next_index=state.log.last_index + 1, last_ack=state.now
        )
        for member_id in state.members
        if member_id != state.member_id
    }
    state.round += 1
    state.confirmed_round = state.round
    state.heartbeat_at = state.now
    append(state, NoOp(time=state.now))
    state.term_start_index = state.log.last_index


def append(state: State, command) -> int:
    """Appends a command to the leader's log; returns its index."""
    index = state.log.last_index + 1
    entry = LogEntry(index=index, term=state.term, command=command)
    state.log.append(entry)
    state.disk.entries.append(entry)
    state.broadcast_due = True
    return index
