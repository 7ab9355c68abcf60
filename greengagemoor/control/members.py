"""The leader's changes of the member list, one voter at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.control import election, founding, replication
from greengagemoor.control.commands import ChangeMembers, Member
from greengagemoor.control.joinmessages import JoinReply, JoinRequest
from greengagemoor.control.messages import Send
from greengagemoor.control.notices import MembersChanged
from greengagemoor.control.state import Joiner, Progress, Role
from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.control.state import State

LEAST_VOTERS = 3
"""The smallest group that bears a loss."""
MOST_TOLD = 9
"""Voters named in a reply to a joiner."""
MOST_JOINERS = 1024
"""Joiners that a leader remembers; more ask again by themselves."""
JOINER_KEPT = 8
"""Join intervals for which a leader remembers one: twice the longest time
after which it asks again."""


@values.frozen
class _Change:
    """A member list to be appended, and why."""

    members: tuple[Member, ...]
    reason: str


def tick(state: State) -> None:
    """Changes the list, as the leader, where there is reason to.

    What lets the group bear more at once comes first: votes of disks that are
    known to be lost, then new votes, then those that are only silent.
    """
    if state.role is not Role.LEADER or not _may_change(state):
        return
    for find in (_take_in, _drop_replaced, _promote, _drop_silent):
        change = find(state)
        if change is not None:
            _change(state, change)
            return


def take_request(state: State, msg: JoinRequest) -> None:
    """Answers a joiner; the leader takes it in, others tell the leader.

    A joiner may know only this member, and may not reach the leader.
    """
    leader = state.members.get(state.leader)
    reply = JoinReply(
        group=state.group,
        member_id=state.member_id,
        may_found=founding.may_found(state),
        leader=state.leader if leader else "",
        members=_told(state, leader),
        round=msg.round,
    )
    state.out.append(Send(msg.instance, reply, msg.address))
    if state.role is Role.LEADER:
        _note_joiner(state, msg)
    elif leader is not None and not msg.forwarded:
        forward = attrs.evolve(msg, forwarded=True)
        state.out.append(Send(leader.instance, forward, leader.address))


def _told(state: State, leader: Member | None) -> tuple[Member, ...]:
    voters = [m for m in state.members.values() if m.voter and m is not leader]
    first = [leader] if leader is not None else []
    return tuple((first + voters)[:MOST_TOLD])


def _note_joiner(state: State, msg: JoinRequest) -> None:
    if msg.member_id in state.members or len(state.joiners) >= MOST_JOINERS:
        return
    joiner = Member(msg.member_id, msg.instance, msg.address, voter=False)
    state.joiners[msg.instance] = Joiner(joiner, state.now)


def _take_in(state: State) -> _Change | None:
    """Takes in all that ask, at once: they have no vote yet."""
    oldest = state.now - JOINER_KEPT * state.timing.join
    joiners = {
        name: joiner.member
        for name, joiner in state.joiners.items()
        if joiner.asked_at >= oldest
        and joiner.member.member_id not in state.members
    }
    state.joiners.clear()
    if not joiners:
        return None
    kept = [
        member
        for member in state.members.values()
        if member.voter or member.instance not in joiners
    ]
    return _Change((*kept, *joiners.values()), "asked_to_join")


def _may_change(state: State) -> bool:
    """Whether the last change is committed, so that quorums always overlap."""
    return (
        state.commit >= state.term_start_index
        and state.commit >= state.members_index
    )


def _change(state: State, change: _Change) -> None:
    election.append(state, ChangeMembers(change.members, time=state.now))
    state.set_members(change.reason)
    for member_id in set(state.members) - {state.member_id}:
        if member_id not in state.progress:
            state.progress[member_id] = Progress(
                next_index=state.log.last_index, last_ack=state.now
            )
    for member_id in set(state.progress) - set(state.members):
        del state.progress[member_id]
    replication.commit_by_quorum(state)


def _without(state: State, gone: Iterable[Member], reason: str) -> _Change:
    left = [m for m in state.members.values() if m not in gone]
    return _Change(tuple(left), reason)


def _promote(state: State) -> _Change | None:
    learners = (m for m in state.members.values() if not m.voter)
    ready = next((m for m in learners if _is_ready(state, m)), None)
    if ready is None:
        return None
    voter = attrs.evolve(ready, voter=True)
    members = {**state.members, voter.member_id: voter}
    return _Change(tuple(members.values()), "synced")


def _is_ready(state: State, member: Member) -> bool:
    """Whether a member has synced all that is committed.

    A voter that still waits for the state counts for every quorum and can't
    help to fill one: the group would be said to bear a further loss, and a
    second failure right after the repair would stop it.
    """
    progress = state.progress[member.member_id]
    recent = progress.last_ack >= state.now - state.timing.election
    return recent and progress.answered and progress.match_index >= state.commit


def _drop_replaced(state: State) -> _Change | None:
    """Takes out a voter whose instance answers under a newer identity.

    Its disk is lost for certain, so its vote can only hinder. In a small
    group it stays until the newer identity votes.
    """
    members = list(state.members.values())
    many = len(state.voters) > LEAST_VOTERS
    newer: dict[str, Member] = {}
    for member in reversed(members):
        latest = newer.setdefault(member.instance, member)
        if (
            latest is not member
            and member.voter
            and (latest.voter or many)
            and _has_answered(state, latest)
        ):
            return _without(state, [member], "disk_lost")
    return None


def _has_answered(state: State, member: Member) -> bool:
    """Whether a member has shown that it runs; the leader itself does."""
    if member.member_id == state.member_id:
        return True
    progress = state.progress.get(member.member_id)
    return progress is not None and progress.answered


def _drop_silent(state: State) -> _Change | None:
    """Takes out members that were silent for long.

    Learners go all at once. A machine that is gone for good may be replaced
    at another address, and its vote would stay: after three such replacements
    of five, eight voters need five, just as many as are left, and the next
    loss stops the group.

    Of an even number one voter less is a smaller majority. Of an odd number
    one alone brings nothing, and had to join again when it comes back; two
    are taken out one after the other, since five voters of which two are gone
    bear no loss, and the three that are left bear one.
    """
    oldest = state.now - state.timing.retire
    silent = [
        member
        for member in state.members.values()
        if member.member_id != state.member_id
        and state.progress[member.member_id].last_ack < oldest
    ]
    learners = [member for member in silent if not member.voter]
    if learners:
        return _without(state, learners, "silent")
    voters = [member for member in silent if member.voter]
    number = len(state.voters)
    if number <= LEAST_VOTERS or len(voters) < 1 + number % 2:
        return None
    longest = min(voters, key=lambda m: state.progress[m.member_id].last_ack)
    return _without(state, [longest], "silent")


def remove(state: State, member_id: str) -> str:
    """Takes a member out by an operator's word; returns a fault, or ''."""
    if member_id not in state.members:
        return f"no member {member_id}"
    if member_id == state.member_id:
        return "the leader can't take itself out; ask when another leads"
    if not _may_change(state):
        return "another change of members is under way"
    _change(state, _without(state, [state.members[member_id]], "operator"))
    return ""


def tell_changes(state: State) -> None:
    """Tells operators how the list that this member goes by has changed."""
    old, new = state.told_members, state.members
    if old is new:
        return
    state.told_members = new
    if old == new:
        return
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
