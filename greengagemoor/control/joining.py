"""Asking to be taken into a control group, or founding one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control import founding
from greengagemoor.control.joinmessages import (
    JoinReply,
    JoinRequest,
    SeedsChanged,
)
from greengagemoor.control.messages import Send
from greengagemoor.control.notices import JoinWaiting
from greengagemoor.control.state import Role

if TYPE_CHECKING:
    from greengagemoor.control.state import State

ASKED_AT_ONCE = 3
"""Instances asked in a round, besides the one that is said to lead. Each of
them passes the request on, so with 300 processes outside, and a second between
their rounds, members take in 1,200 requests a second together."""
EAGER_ASKS = 8
"""Rounds at the interval ``Timing.join``; later ones are twice as far apart
each time, up to ``LONGEST_PAUSE`` intervals."""
LONGEST_PAUSE = 4
MOST_CONTACTS = 64
"""Addresses kept of what others told; those told first are forgotten first."""
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
        _begin(state)
    if founding.is_due(state):
        founding.found(state)
        return
    if state.now >= joining.ask_at:
        _ask(state)
    if state.now >= joining.tell_at:
        _tell(state)


def _wants_to_join(state: State) -> bool:
    """Whether nobody can be relied on to send this process the log.

    A learner whose leader is gone may be in nobody's list. A voter may have
    been taken out while it was silent; back again it would ask for votes for
    ever, as nobody sends it the list in which it is missing.
    """
    if state.role is Role.LEADER:
        return False
    if state.role is Role.IDLE:
        return True
    silent = state.now - max(state.heard_leader_at, state.started_at)
    timing = state.timing
    return silent > (timing.retire if state.is_voter else timing.election)


def _begin(state: State) -> None:
    joining = state.joining
    joining.since = joining.ask_at = state.now
    joining.tell_at = state.now + FIRST_TOLD_S
    joining.asks = 0
    joining.leader = ""
    joining.replies.clear()


def _ask(state: State) -> None:
    joining = state.joining
    joining.round += 1
    joining.asks += 1
    joining.ask_at = state.now + _pause(state)
    asked = _whom(state)
    joining.asked = tuple(asked)
    request = JoinRequest(
        state.member_id, state.instance, state.address, joining.round
    )
    for name, address in asked.items():
        state.out.append(Send(name, request, address))


def _pause(state: State) -> float:
    late = state.joining.asks - EAGER_ASKS
    if late <= 0 or founding.may_found(state):
        return state.timing.join
    return state.timing.join * min(2**late, LONGEST_PAUSE)


def _whom(state: State) -> dict[str, str]:
    """Returns whom to ask: who is said to lead, and others in turn.

    The seeds of the settings alone may all have ended, or be followers that
    can't reach their leader.
    """
    known = contacts(state)
    if founding.may_found(state):
        return {name: known[name] for name in state.founders}
    joining = state.joining
    names = [name for name in known if name != joining.leader]
    start = joining.turn % max(1, len(names))
    joining.turn = start + ASKED_AT_ONCE
    turn = (names[start:] + names[:start])[:ASKED_AT_ONCE]
    first = [joining.leader] if joining.leader in known else []
    return {name: known[name] for name in first + turn}


def contacts(state: State) -> dict[str, str]:
    """Returns the addresses of all that may know a group, by instance."""
    members = {m.instance: m.address for m in state.members.values()}
    told = state.joining.contacts
    known = {**state.peers, **(state.founders or {}), **members, **told}
    known.pop(state.instance, None)
    return known


def meet(state: State, told: dict[str, str]) -> None:
    """Keeps addresses that others told."""
    kept = state.joining.contacts
    for name, address in told.items():
        kept.pop(name, None)
        kept[name] = address
    while len(kept) > MOST_CONTACTS:
        del kept[next(iter(kept))]


def take_seeds(state: State, msg: SeedsChanged) -> None:
    """Takes in changed settings, and asks those that they name now."""
    state.peers = {
        name: address
        for name, address in msg.seeds.items()
        if name != state.instance
    }
    state.joining.turn = 0
    state.joining.ask_at = state.now


def take_reply(state: State, sender: str, msg: JoinReply) -> None:
    """Learns from another control instance who belongs to its group."""
    joining = state.joining
    if joining.since is None:
        return
    joining.replies[sender] = msg
    meet(state, {m.instance: m.address for m in msg.members})
    if msg.leader:
        joining.leader = msg.leader.partition("#")[0]


def _tell(state: State) -> None:
    joining = state.joining
    age = state.now - joining.since
    joining.tell_at = state.now + min(max(age, FIRST_TOLD_S), LONGEST_TOLD_S)
    state.out.append(JoinWaiting(joining.asked, _reason(state), age))


def _reason(state: State) -> str:
    replies = state.joining.replies.values()
    if not replies:
        return "no_answer"
    if not any(reply.group for reply in replies):
        return "no_group"
    if not any(reply.leader for reply in replies):
        return "no_leader"
    return "not_taken_in"
