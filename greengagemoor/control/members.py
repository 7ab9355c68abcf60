"""The leader's changes of the member list, one voter at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.control import election, replication
from greengagemoor.control.commands import ChangeMembers, Member
from greengagemoor.control.messages import JoinReply, JoinRequest, Send
from greengagemoor.control.notices import MembersChanged
from greengagemoor.control.state import Progress, Role

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.control.state import State

LEAST_VOTERS = 3
"""The smallest group that bears a loss."""


def tick(state: State) -> None:
    """Brings new members up to votes and lets others go, as the leader."""
    if state.role is Role.LEADER:
        _promote_or_retire(state)


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
    _change(state, [*kept, joiner], "asked_to_join")


def _may_change(state: State) -> bool:
    """Whether the last change is committed, so that quorums always overlap."""
    return (
        state.commit >= state.term_start_index
        and state.commit >= state.members_index
    )


def _change(state: State, changed: Iterable[Member], reason: str) -> None:
    command = ChangeMembers(tuple(changed), time=state.now)
    election.append(state, command)
    state.set_members(reason)
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
        changed = {**state.members, voter.member_id: voter}.values()
        _change(state, changed, "synced")
        return
    over, reason = _replaced_voter(state), "votes_under_newer_identity"
    if over is None:
        over, reason = _silent_voter(state), "silent"
    if over is not None:
        kept = [m for m in state.members.values() if m is not over]
        _change(state, kept, reason)


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
    _change(state, kept, "operator")
    return ""


def tell_changes(state: State) -> None:
    """Tells operators how the list that this member goes by has changed."""
    old, new = state.told_members, state.members
    if old == new:
        return
    state.told_members = new
    voters = len(state.voters)
    state.out.append(
        MembersChanged(
            joined=tuple(key for key in new if key not in old),
            promoted=tuple(
                key for key in new if old.get(key, new[key]) != new[key]
            ),
            left=tuple(key for key in old if key not in new),
            voters=voters,
            learners=len(new) - voters,
            majority=voters // 2 + 1,
            term=state.term,
            reason=state.members_reason,
        )
    )
