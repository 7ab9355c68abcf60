"""Founding, joining and repair of the control group, one voter at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.control import election, replication
from greengagemoor.control.commands import ChangeMembers, LogEntry, Member
from greengagemoor.control.log import Log
from greengagemoor.control.messages import JoinReply, JoinRequest, Send
from greengagemoor.control.state import Progress, Role

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.control.state import State

LEAST_VOTERS = 3
"""The smallest group that bears a loss."""


def tick(state: State) -> None:
    """Joins a group, or brings new members up to votes as the leader."""
    if state.role is Role.LEADER:
        _promote_or_retire(state)
    elif _wants_to_join(state) and state.now >= state.join_at:
        state.join_at = state.now + state.timing.join
        _ask_to_join(state)


def _wants_to_join(state: State) -> bool:
    if state.role is Role.IDLE:
        return True
    if state.is_voter:
        return _may_be_taken_out(state)
    return state.role is Role.FOLLOWER


def _may_be_taken_out(state: State) -> bool:
    """Whether a voter has heard no leader for so long that it may be none.

    The others take a silent voter out; back again it would ask for votes for
    ever, as nobody sends it the list in which it is missing.
    """
    heard = max(state.heard_leader_at, state.started_at)
    return state.now - heard > state.timing.retire


def _ask_to_join(state: State) -> None:
    if not state.group and _may_found(state):
        _found(state)
        return
    request = JoinRequest(state.member_id, state.instance, state.address)
    known = {m.instance: m.address for m in state.members.values()}
    for name, address in {**known, **state.peers}.items():
        if name != state.instance:
            state.out.append(Send(name, request, address))


def _may_found(state: State) -> bool:
    """Tells whether this empty member may start a new group.

    An instance that lost its disk looks like one that never had any. If it
    founded a second group, entries could take its empty history for the true
    one: every other instance named in the settings must first say that it
    belongs to none.
    """
    first = min([state.instance, *state.peers])
    return (
        state.new_group
        and state.instance == first
        and all(state.join_replies.get(name) == "" for name in state.peers)
    )


def _found(state: State) -> None:
    own = Member(state.member_id, state.instance, state.address, voter=True)
    state.group = f"group-{state.rng.getrandbits(64):016x}"
    state.term = 1
    state.disk.hard_changed = True
    state.log = Log()
    entry = LogEntry(1, 1, ChangeMembers((own,), time=state.now))
    state.log.append(entry)
    state.disk.entries.append(entry)
    state.set_members()
    state.role = Role.FOLLOWER
    state.election_at = state.now


def take_request(state: State, asker: str, msg: JoinRequest) -> None:
    """Answers a joiner; a leader takes it in as a member without a vote."""
    state.out.append(Send(asker, JoinReply(state.group), msg.address))
    if state.role is not Role.LEADER or not _may_change(state):
        return
    if msg.member_id in state.members:
        return
    kept = [
        member
        for member in state.members.values()
        if member.voter or member.instance != msg.instance
    ]
    joiner = Member(msg.member_id, msg.instance, msg.address, voter=False)
    _change(state, [*kept, joiner])


def take_reply(state: State, sender: str, msg: JoinReply) -> None:
    """Notes which group another control instance belongs to."""
    state.join_replies[sender] = msg.group


def _may_change(state: State) -> bool:
    """Whether the last change is committed, so that quorums always overlap."""
    return (
        state.commit >= state.term_start_index
        and state.commit >= state.members_index
    )


def _change(state: State, changed: Iterable[Member]) -> None:
    command = ChangeMembers(tuple(changed), time=state.now)
    election.append(state, command)
    state.set_members()
    for member_id in set(state.members) - {state.member_id}:
        if member_id not in state.progress:
            state.progress[member_id] = Progress(
                next_index=state.log.last_index
            )
    for member_id in set(state.progress) - set(state.members):
        del state.progress[member_id]
    replication.commit_by_quorum(state)


def _promote_or_retire(state: State) -> None:
    if not _may_change(state):
        return
    ready = next(filter(lambda m: _is_ready(state, m), _learners(state)), None)
    if ready is not None:
        voter = attrs.evolve(ready, voter=True)
        _change(state, {**state.members, voter.member_id: voter}.values())
        return
    over = _replaced_voter(state) or _silent_voter(state)
    if over is not None:
        kept = [m for m in state.members.values() if m is not over]
        _change(state, kept)


def _learners(state: State) -> list[Member]:
    return [m for m in state.members.values() if not m.voter]


def _is_ready(state: State, member: Member) -> bool:
    """Whether a member has synced all that is committed.

    A voter that still waits for the state counts for every quorum and can't
    help to fill one: the group would be said to bear a further loss, and a
    second failure right after the repair would stop it.
    """
    progress = state.progress[member.member_id]
    recent = progress.last_ack >= state.now - state.timing.election
    return recent and progress.match_index >= state.commit


def _replaced_voter(state: State) -> Member | None:
    """Returns a voter whose instance votes under a newer identity too."""
    newest = {m.instance: m for m in state.members.values() if m.voter}
    return next(
        (
            m
            for m in state.members.values()
            if m.voter
            and newest[m.instance] is not m
            and m.member_id != state.member_id
        ),
        None,
    )


def _silent_voter(state: State) -> Member | None:
    """Returns the voter that was silent for longest, if one is to go.

    A machine that is gone for good may be replaced at another address. Its
    vote would stay: after three such replacements of five, eight voters need
    five, just as many as are left, and the next loss stops the group.

    One is taken out of an even number only: one voter fewer is then a smaller
    majority, so the group bears a loss more. Out of an odd number it would
    bear none more, and a voter that comes back had to join again.
    """
    if len(state.voters) % 2 or len(state.voters) <= LEAST_VOTERS:
        return None
    silent = [
        (state.progress[member.member_id].last_ack, member.member_id)
        for member in state.members.values()
        if member.voter and member.member_id != state.member_id
    ]
    last_ack, member_id = min(silent)
    if last_ack > state.now - state.timing.retire:
        return None
    return state.members[member_id]


def remove(state: State, member_id: str) -> str:
    """Takes a member out by an operator's word; returns a fault, or ''."""
    if member_id not in state.members:
        return f"no member {member_id}"
    if member_id == state.member_id:
        return "the leader can't take itself out; ask when another leads"
    if not _may_change(state):
        return "another change of members is under way"
    kept = [m for m in state.members.values() if m.member_id != member_id]
    _change(state, kept)
    return ""
