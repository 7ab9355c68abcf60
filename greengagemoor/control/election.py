"""Elections with pre-votes; leaders step down when they lose the quorum."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.codes import Code
from greengagemoor.control.commands import LogEntry, NoOp
from greengagemoor.control.disk_writes import AwaitingSync
from greengagemoor.control.messages import OpReply, Send, VoteReply, VoteRequest
from greengagemoor.control.state import Progress, Role

if TYPE_CHECKING:
    from greengagemoor.control.state import State

STARTUP_WAIT_FRACTION = 0.08
"""Fraction of the election time that a member waits if it has had no leader
since its start: about ten round trips for a group in one region. Elections that
collide cost one more such wait."""


def become_follower(state: State, term: int, leader: str = "") -> None:
    """Becomes a follower; a former leader answers its waiting requesters.

    Args:
        state: this member.
        term: term to adopt if it is higher than the current one.
        leader: member id of the leader, '' if unknown.
    """
    if term > state.term:
        state.term = term
        state.voted_for = ""
        state.disk.hard_state_changed = True
    if state.role is Role.LEADER:
        _clear_leader_state(state)
    # A voter may grant its vote before it belongs to the group. Until it
    # receives an entry, another group may still list it as a member.
    state.role = Role.FOLLOWER if state.group else Role.IDLE
    state.leader = leader
    state.votes.clear()


def _clear_leader_state(state: State) -> None:
    """Answers all waiting requesters and clears the leader's state.

    An operation already in the log may still be committed by the next leader,
    so its result is unknown.
    """
    for op in state.pending.values():
        _reply(state, op.requester, OpReply(op.op_id, Code.APPLY_UNKNOWN))
    for read in state.reads:
        _reply(state, read.requester, OpReply(read.op_id, Code.NOT_LEADER))
    state.pending.clear()
    state.reads.clear()
    state.progress.clear()
    state.joiners.clear()
    state.reset_election()


def _reply(state: State, requester: str, reply: OpReply) -> None:
    state.out.append(Send(requester, reply))


def tick(state: State) -> None:
    """Starts an election when it is due; a leader checks its quorum."""
    if state.role is Role.LEADER:
        _check_quorum(state)
    elif state.role is not Role.IDLE and state.now >= state.election_at:
        set_next_election(state)
        if state.is_voter:
            _campaign(state, pre=True)


def set_next_election(state: State) -> None:
    """Sets the next election time, a short one before the first leader.

    After a restart of all members there is no leader and callers wait for one.
    A premature pre-vote does no harm: members that have a leader refuse it.
    """
    state.reset_election()
    if state.last_leader_contact_at == float("-inf"):
        wait = (state.election_at - state.now) * STARTUP_WAIT_FRACTION
        state.election_at = state.now + wait


def _check_quorum(state: State) -> None:
    """Steps down without recent replies from a quorum.

    A leader in the minority part of a network partition would otherwise go on
    claiming to lead beside the one that the majority elects.
    """
    oldest = state.now - state.timing.election
    responsive = sum(
        voter == state.member_id or state.progress[voter].last_ack >= oldest
        for voter in state.voters
    )
    if not state.quorum_of(responsive):
        become_follower(state, state.term)


def _campaign(state: State, *, pre: bool) -> None:
    """Requests votes; a pre-vote changes no durable state.

    Without pre-votes, a member that was partitioned returns with a higher term
    and deposes a working leader: a leader change after every healed partition.
    """
    state.role = Role.CANDIDATE
    state.pre_vote = pre
    state.leader = ""
    state.votes = set()
    if not pre:
        state.term += 1
        state.voted_for = state.member_id
        state.disk.hard_state_changed = True
    _request_votes(state)
    if pre:
        _count_vote(state, state.member_id)
    else:
        state.disk.new_awaiting_sync.append(
            AwaitingSync(0, vote_term=state.term)
        )


def _request_votes(state: State) -> None:
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


def count_own_vote(state: State, term: int) -> None:
    """Counts this member's own vote once it is synced."""
    if state.term == term and state.role is Role.CANDIDATE:
        _count_vote(state, state.member_id)


def handle_vote_request(state: State, msg: VoteRequest) -> None:
    """Replies to a request for a vote or a pre-vote."""
    if msg.pre:
        granted = _grants_pre_vote(state, msg)
    else:
        if msg.term > state.term:
            become_follower(state, msg.term)
        granted = _grants_vote(state, msg)
        if granted:
            state.voted_for = msg.source
            state.disk.hard_state_changed = True
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


def _grants_pre_vote(state: State, msg: VoteRequest) -> bool:
    has_leader = (
        state.now - state.last_leader_contact_at < state.timing.election
    )
    leads = state.role is Role.LEADER
    return (
        msg.term > state.term
        and not has_leader
        and not leads
        and _is_up_to_date(state, msg)
    )


def _grants_vote(state: State, msg: VoteRequest) -> bool:
    return (
        msg.term == state.term
        and state.voted_for in ("", msg.source)
        and state.role is not Role.LEADER
        and _is_up_to_date(state, msg)
    )


def _is_up_to_date(state: State, msg: VoteRequest) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (msg.last_term, msg.last_index) >= own


def handle_vote_reply(state: State, msg: VoteReply) -> None:
    """Counts a vote if it belongs to the current election."""
    if msg.term > state.term:
        become_follower(state, msg.term)
        return
    expected_term = state.term + 1 if state.pre_vote else state.term
    if (
        state.role is Role.CANDIDATE
        and msg.granted
        and msg.pre == state.pre_vote
        and msg.for_term == expected_term
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
