"""Founds a control group: when it is safe, and its first member list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.commands import ChangeMembers, LogEntry, Member
from greengagemoor.control.log import Log
from greengagemoor.control.state import Role

if TYPE_CHECKING:
    from greengagemoor.control.state import State


def may_found(state: State) -> bool:
    """Whether this process may found a group and no reply named one."""
    replies = state.joining.replies.values()
    return (
        state.founders is not None
        and not state.group
        and not any(reply.group for reply in replies)
    )


def should_found(state: State) -> bool:
    """Whether this process must found the group now.

    An instance that lost its disk looks like a new one. If it founded a second
    group, entry instances could accept that group's empty history. So all
    founders must reply to the same round of requests that they belong to no
    group, and a majority must still hold the disks with which they were
    configured to found one. An earlier group would have none of the votes of
    that majority, so it cannot have accepted anything. Of the founders that
    still hold their disks, the first by name founds the group.
    """
    if not may_found(state):
        return False
    joining = state.joining
    replies = {name: joining.replies.get(name) for name in state.founders}
    if any(
        reply is None or reply.round != joining.round or reply.group
        for reply in replies.values()
    ):
        return False
    eligible = [name for name, reply in replies.items() if reply.may_found]
    eligible.append(state.instance)
    majority = (len(replies) + 1) // 2 + 1
    return len(eligible) >= majority and min(eligible) == state.instance


def found_group(state: State) -> None:
    """Writes the first member list, with all founders as voters.

    If the founder were the only voter, it would accept changes alone, and the
    loss of its disk before they are replicated would lose them and the group.
    """
    others = [
        Member(reply.member_id, name, state.founders[name], voter=True)
        for name, reply in state.joining.replies.items()
        if name in state.founders
    ]
    own = Member(state.member_id, state.instance, state.address, voter=True)
    state.group = f"group-{state.rng.getrandbits(64):016x}"
    state.term += 1
    state.voted_for = ""
    state.disk.hard_state_changed = True
    state.log = Log()
    command = ChangeMembers((own, *others), time=state.now)
    entry = LogEntry(1, state.term, command)
    state.log.append(entry)
    state.disk.entries.append(entry)
    state.set_members("founded")
    state.role = Role.FOLLOWER
    state.started_at = state.now
    state.election_at = state.now
