"""Changes of the member list by the leader, one voter at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.control import election, founding, replication
from greengagemoor.control.commands import ChangeMembers, Member
from greengagemoor.control.join_messages import JoinReply, JoinRequest
from greengagemoor.control.messages import Send
from greengagemoor.control.notices import MembersChanged
from greengagemoor.control.state import Joiner, Progress, Role
from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.control.state import State

MIN_VOTERS = 3
"""Smallest number of voters that tolerates a loss."""
MAX_MEMBERS_IN_REPLY = 9
"""Members listed in a reply to a joiner."""
MAX_PENDING_JOINERS = 1024
"""Joiners that a leader records; others are dropped and ask again."""
JOINER_TTL_INTERVALS = 8
"""Join intervals after which a recorded joiner expires: twice the longest time
between its requests."""


@values.frozen
class _Change:
    """A member list to be appended, and the reason for it."""

    members: tuple[Member, ...]
    reason: str


def tick(state: State) -> None:
    """Makes at most one change of the member list, if this member leads.

    Joiners are added first; this changes no votes. The other changes come in
    the order in which they raise the tolerance for losses: removing voters
    whose disk is known to be lost, promoting learners, removing silent members.
    """
    if state.role is not Role.LEADER or not _may_change(state):
        return
    for propose in (_add_joiners, _remove_replaced, _promote, _remove_silent):
        change = propose(state)
        if change is not None:
            _append_change(state, change)
            return


def handle_join_request(state: State, msg: JoinRequest) -> None:
    """Replies to a joiner; the leader records it, others forward the request.

    The joiner may know only this member, or be unable to reach the leader.
    """
    leader = state.members.get(state.leader)
    reply = JoinReply(
        group=state.group,
        member_id=state.member_id,
        may_found=founding.may_found(state),
        leader=state.leader if leader else "",
        members=_members_for_reply(state, leader),
        round=msg.round,
    )
    state.out.append(Send(msg.instance, reply, msg.address))
    if state.role is Role.LEADER:
        _record_joiner(state, msg)
    elif leader is not None and not msg.forwarded:
        forward = attrs.evolve(msg, forwarded=True)
        state.out.append(Send(leader.instance, forward, leader.address))


def _members_for_reply(
    state: State, leader: Member | None
) -> tuple[Member, ...]:
    voters = [m for m in state.members.values() if m.voter and m is not leader]
    first = [leader] if leader is not None else []
    return tuple((first + voters)[:MAX_MEMBERS_IN_REPLY])


def _record_joiner(state: State, msg: JoinRequest) -> None:
    if (
        msg.member_id in state.members
        or len(state.joiners) >= MAX_PENDING_JOINERS
    ):
        return
    joiner = Member(msg.member_id, msg.instance, msg.address, voter=False)
    state.joiners[msg.instance] = Joiner(joiner, state.now)


def _add_joiners(state: State) -> _Change | None:
    """Adds all waiting joiners in one change, as learners have no vote."""
    oldest = state.now - JOINER_TTL_INTERVALS * state.timing.join
    joiners = {
        name: joiner.member
        for name, joiner in state.joiners.items()
        if joiner.requested_at >= oldest
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
    """Whether the last change is committed, so that quorums overlap."""
    return (
        state.commit >= state.term_start_index
        and state.commit >= state.members_index
    )


def _append_change(state: State, change: _Change) -> None:
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


def _without(state: State, removed: Iterable[Member], reason: str) -> _Change:
    remaining = [m for m in state.members.values() if m not in removed]
    return _Change(tuple(remaining), reason)


def _promote(state: State) -> _Change | None:
    learners = (m for m in state.members.values() if not m.voter)
    ready = next((m for m in learners if _is_ready(state, m)), None)
    if ready is None:
        return None
    voter = attrs.evolve(ready, voter=True)
    members = {**state.members, voter.member_id: voter}
    return _Change(tuple(members.values()), "synced")


def _is_ready(state: State, member: Member) -> bool:
    """Whether a member has recently synced all committed entries.

    A voter without them raises the quorum but cannot contribute to it. The
    group would be reported to tolerate another loss, and a second failure
    right after the repair would stop it.
    """
    progress = state.progress[member.member_id]
    recent = progress.last_ack >= state.now - state.timing.election
    return recent and progress.answered and progress.match_index >= state.commit


def _remove_replaced(state: State) -> _Change | None:
    """Removes a voter whose instance replies under a newer identity.

    Its disk is certainly lost, so it can never vote again. In a small group it
    stays until the newer identity is a voter.
    """
    members = list(state.members.values())
    above_minimum = len(state.voters) > MIN_VOTERS
    newest: dict[str, Member] = {}
    for member in reversed(members):
        latest = newest.setdefault(member.instance, member)
        if (
            latest is not member
            and member.voter
            and (latest.voter or above_minimum)
            and _has_answered(state, latest)
        ):
            return _without(state, [member], "disk_lost")
    return None


def _has_answered(state: State, member: Member) -> bool:
    """Whether a member has replied to this leader, or is the leader."""
    if member.member_id == state.member_id:
        return True
    progress = state.progress.get(member.member_id)
    return progress is not None and progress.answered


def _remove_silent(state: State) -> _Change | None:
    """Removes members that have been silent for ``Timing.silence_timeout``.

    Learners are removed all at once. A voter whose machine was replaced at
    another address would otherwise remain: after three such replacements in a
    group of five, eight voters need a majority of five, exactly those that
    are left, and the next loss stops the group.

    With an even number of voters, removing one lowers the majority. With an
    odd number, removing only one gains nothing, and it would have to join
    again on its return. Two are removed, one after the other: five voters
    with two lost tolerate no further loss, the remaining three tolerate one.
    """
    oldest = state.now - state.timing.silence_timeout
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
    count = len(state.voters)
    if count <= MIN_VOTERS or len(voters) < 1 + count % 2:
        return None
    longest_silent = min(
        voters, key=lambda m: state.progress[m.member_id].last_ack
    )
    return _without(state, [longest_silent], "silent")


def remove(state: State, member_id: str) -> str:
    """Removes a member on an operator's request; returns an error, or ''."""
    if member_id not in state.members:
        return f"{member_id} is not a member of the control group"
    if member_id == state.member_id:
        return "the leader cannot remove itself; retry under another leader"
    if not _may_change(state):
        return "previous member change is not committed yet; retry later"
    _append_change(
        state, _without(state, [state.members[member_id]], "operator")
    )
    return ""


def report_changes(state: State) -> None:
    """Reports a change of this member's member list to operators."""
    old, new = state.reported_members, state.members
    if old is new:
        return
    state.reported_members = new
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
