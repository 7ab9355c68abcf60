"""The first member list of a control group, and who may write it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.commands import ChangeMembers, LogEntry, Member
from greengagemoor.control.log import Log
from greengagemoor.control.state import Role

if TYPE_CHECKING:
    from greengagemoor.control.state import State


def may_found(state: State) -> bool:
    """Whether this process was told to found a group and has heard of none."""
    replies = state.joining.replies.values()
    return (
        state.founders is not None
        and not state.group
        and not any(reply.group for reply in replies)
    )


def is_due(state: State) -> bool:
    """Whether this process is to found the group now.

    An instance that lost its disk looks like one that never had any. If it
    founded a second group, entries could take its empty history for the true
    one. So all founders must say, in answer to one round of requests, that
    they belong to no group. A majority of them must still hold the disks with
    which they were told to found: a group that they had founded before would
    have none of their votes, so nothing was accepted in it. The first of
    those by name goes ahead.
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
    willing = [name for name, reply in replies.items() if reply.may_found]
    willing.append(state.instance)
    majority = (len(replies) + 1) // 2 + 1
    return len(willing) >= majority and min(willing) == state.instance


def found(state: State) -> None:
    """Writes the first list: all founders vote, so one disk is never enough.

    A founder that was the only voter would accept changes alone, and the loss
    of its disk before another had them would lose them and the group.
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
    state.disk.hard_changed = True
    state.log = Log()
    command = ChangeMembers((own, *others), time=state.now)
    entry = LogEntry(1, state.term, command)
    state.log.append(entry)
    state.disk.entries.append(entry)
    state.set_members("founded")
    state.role = Role.FOLLOWER
    state.started_at = state.now
    state.election_at = state.now
