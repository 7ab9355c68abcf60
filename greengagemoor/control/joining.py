"""Founding a control group, and asking to be taken into one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.commands import ChangeMembers, LogEntry, Member
from greengagemoor.control.log import Log
from greengagemoor.control.messages import JoinReply, JoinRequest, Send
from greengagemoor.control.notices import JoinWaiting
from greengagemoor.control.state import Role

if TYPE_CHECKING:
    from greengagemoor.control.state import State

FIRST_TOLD_S = 1.0
LONGEST_TOLD_S = 30.0
"""A wait is told after a second, then at twice the age each time: a process
that stays outside for a day writes some thousand lines."""


def tick(state: State) -> None:
    """Asks to be taken in, while this member has reason to."""
    joining = state.joining
    if not _wants_to_join(state):
        joining.since = None
        return
    if joining.since is None:
        joining.since = state.now
        joining.tell_at = state.now + FIRST_TOLD_S
        joining.replies.clear()
    if state.now >= state.join_at:
        state.join_at = state.now + state.timing.join
        _ask_to_join(state)
    if state.now >= joining.tell_at:
        _tell(state)


def _wants_to_join(state: State) -> bool:
    if state.role is Role.LEADER:
        return False
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
    asked = {**known, **state.peers}
    asked.pop(state.instance, None)
    state.joining.asked = tuple(asked)
    for name, address in asked.items():
        state.out.append(Send(name, request, address))


def _tell(state: State) -> None:
    joining = state.joining
    age = state.now - joining.since
    joining.tell_at = state.now + min(max(age, FIRST_TOLD_S), LONGEST_TOLD_S)
    state.out.append(JoinWaiting(joining.asked, _reason(state), age))


def _reason(state: State) -> str:
    replies = state.joining.replies
    if not replies:
        return "no_answer"
    if not any(replies.values()):
        return "no_group"
    return "not_taken_in"


def _may_found(state: State) -> bool:
    """Tells whether this empty member may start a new group.

    An instance that lost its disk looks like one that never had any. If it
    founded a second group, entries could take its empty history for the true
    one: every other instance named in the settings must first say that it
    belongs to none.
    """
    first = min([state.instance, *state.peers])
    replies = state.joining.replies
    return (
        state.new_group
        and state.instance == first
        and all(replies.get(name) == "" for name in state.peers)
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
    state.set_members("founded")
    state.role = Role.FOLLOWER
    state.election_at = state.now


def take_reply(state: State, sender: str, msg: JoinReply) -> None:
    """Notes which group another control instance belongs to."""
    state.joining.replies[sender] = msg.group
