"""Requests to join a control group, or founds one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control import founding
from greengagemoor.control.join_messages import (
    JoinReply,
    JoinRequest,
    SeedsChanged,
)
from greengagemoor.control.messages import Send
from greengagemoor.control.notices import JoinPending
from greengagemoor.control.state import Role

if TYPE_CHECKING:
    from greengagemoor.control.state import State

TARGETS_PER_ROUND = 3
"""Instances asked per round besides the reported leader, so 300 processes that
ask once per second send 1,200 requests per second across all members. Members
other than the leader also forward each request to it."""
ROUNDS_BEFORE_BACKOFF = 8
"""Rounds at the interval ``Timing.join``; the interval then doubles each round,
up to ``MAX_BACKOFF_FACTOR`` times ``Timing.join``."""
MAX_BACKOFF_FACTOR = 4
MAX_CONTACTS = 64
"""Learnt addresses that are kept; the least recently learnt is evicted."""
FIRST_NOTICE_S = 1.0
MAX_NOTICE_INTERVAL_S = 30.0
"""Notices of a wait come after ``FIRST_NOTICE_S``, then each time the wait has
doubled, at least once per this interval: a process that waits for a day writes
a few thousand log lines."""


def tick(state: State) -> None:
    """Requests to join while this member needs to, or founds a group."""
    joining = state.joining
    if not _wants_to_join(state):
        joining.waiting_since = None
        return
    if joining.waiting_since is None:
        _start_joining(state)
    if founding.should_found(state):
        founding.found_group(state)
        return
    if state.now >= joining.next_request_at:
        _send_requests(state)
    if state.now >= joining.next_notice_at:
        _emit_notice(state)


def _wants_to_join(state: State) -> bool:
    """Whether this process may receive no log unless it asks to join.

    A learner without a leader may be missing from the lists of all members. A
    voter may have been removed while it was silent; it would request votes for
    ever, as nobody sends it the list from which it was removed.
    """
    if state.role is Role.LEADER:
        return False
    if state.role is Role.IDLE:
        return True
    silent = state.now - max(state.last_leader_contact_at, state.started_at)
    timing = state.timing
    return silent > (
        timing.silence_timeout if state.is_voter else timing.election
    )


def _start_joining(state: State) -> None:
    joining = state.joining
    joining.waiting_since = joining.next_request_at = state.now
    joining.next_notice_at = state.now + FIRST_NOTICE_S
    joining.rounds_since_waiting = 0
    joining.leader = ""
    joining.replies.clear()


def _send_requests(state: State) -> None:
    joining = state.joining
    joining.round += 1
    joining.rounds_since_waiting += 1
    joining.next_request_at = state.now + _request_interval(state)
    asked = _select_targets(state)
    joining.last_targets = tuple(asked)
    request = JoinRequest(
        state.member_id, state.instance, state.address, joining.round
    )
    for name, address in asked.items():
        state.out.append(Send(name, request, address))


def _request_interval(state: State) -> float:
    doublings = state.joining.rounds_since_waiting - ROUNDS_BEFORE_BACKOFF
    if doublings <= 0 or founding.may_found(state):
        return state.timing.join
    return state.timing.join * min(2**doublings, MAX_BACKOFF_FACTOR)


def _select_targets(state: State) -> dict[str, str]:
    """Returns the addresses to ask: the reported leader, others in rotation.

    The seeds in the settings alone do not suffice: all may have stopped, or be
    followers that cannot reach their leader.
    """
    known = contacts(state)
    if founding.may_found(state):
        return {name: known[name] for name in state.founders}
    joining = state.joining
    names = [name for name in known if name != joining.leader]
    start = joining.next_target % max(1, len(names))
    joining.next_target = start + TARGETS_PER_ROUND
    others = (names[start:] + names[:start])[:TARGETS_PER_ROUND]
    preferred = [joining.leader] if joining.leader in known else []
    return {name: known[name] for name in preferred + others}


def contacts(state: State) -> dict[str, str]:
    """Returns addresses of instances that may know a group, by instance."""
    members = {m.instance: m.address for m in state.members.values()}
    learnt = state.joining.contacts
    known = {**state.peers, **(state.founders or {}), **members, **learnt}
    known.pop(state.instance, None)
    return known


def add_contacts(state: State, addresses: dict[str, str]) -> None:
    """Records addresses learnt from others, by instance."""
    kept = state.joining.contacts
    for name, address in addresses.items():
        kept.pop(name, None)
        kept[name] = address
    while len(kept) > MAX_CONTACTS:
        del kept[next(iter(kept))]


def replace_peers(state: State, msg: SeedsChanged) -> None:
    """Replaces the peers after a change of settings.

    If this process is asking to join, the next round is due at once.
    """
    state.peers = {
        name: address
        for name, address in msg.seeds.items()
        if name != state.instance
    }
    state.joining.next_target = 0
    state.joining.next_request_at = state.now


def handle_join_reply(state: State, sender: str, msg: JoinReply) -> None:
    """Records the members and the leader that a join reply names."""
    joining = state.joining
    if joining.waiting_since is None:
        return
    joining.replies[sender] = msg
    add_contacts(state, {m.instance: m.address for m in msg.members})
    if msg.leader:
        joining.leader = msg.leader.partition("#")[0]


def _emit_notice(state: State) -> None:
    joining = state.joining
    age = state.now - joining.waiting_since
    joining.next_notice_at = state.now + min(
        max(age, FIRST_NOTICE_S), MAX_NOTICE_INTERVAL_S
    )
    voters = len(state.voters)
    state.out.append(
        JoinPending(
            joining.last_targets,
            _waiting_reason(state),
            age,
            voters,
            voters // 2 + 1 if voters else 0,
        )
    )


def _waiting_reason(state: State) -> str:
    replies = state.joining.replies.values()
    if not replies:
        return "no_answer"
    if not any(reply.group for reply in replies):
        return "no_group"
    if not any(reply.leader for reply in replies):
        return "no_leader"
    return "not_taken_in"
