"""The membership decider: soft state shared by all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.messages import (
    DocumentAccepted,
    Received,
    VersionConfirmed,
)
from greengagemoor.membership import (
    addresses,
    announcements,
    documents,
    failure_detector,
    gossip,
    query_updates,
    server_watch,
)
from greengagemoor.membership import messages as m
from greengagemoor.membership.rows import InstanceState
from greengagemoor.membership.state import State, Timing
from greengagemoor.query.messages import DrainReported

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from greengagemoor.membership.rows import InstanceRow


class MembershipDecider:
    """Decides on announcements, liveness, addresses, shares and the document.

    A tick runs its steps in a fixed order: receive, probe, suspect, watch,
    freshness, own state, changes. Its cost depends on what changed; a round
    sends a few probes at most, whatever the size of the fleet.
    """

    def __init__(
        self,
        me: InstanceRow,
        seeds: dict[str, str],
        rng: random.Random,
        timing: Timing | None = None,
    ):
        """Starts with the own row only.

        Args:
            me: the own row; its state is set by the decider.
            seeds: peer addresses of other instances, by name.
            rng: seeded random generator for the selection of peers.
            timing: intervals, or None for the defaults.
        """
        others = {k: v for k, v in seeds.items() if k != me.name}
        self.state = State(me, others, rng, timing or Timing())
        self.state.merge_row(me)

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Handles messages in one tick; returns the messages to pass on."""
        state = self.state
        state.now = max(now, state.now)
        state.out = []
        for msg in msgs:
            self._receive(msg)
        if state.now >= state.round_at:
            gossip.run_round(state)
        failure_detector.check_probes(state)
        failure_detector.check_suspects(state)
        query_updates.notify_hidden(state, server_watch.process_timers(state))
        documents.check_freshness(state)
        self._set_own_state()
        query_updates.process_changes(state)
        return state.out

    def next_wake(self) -> float:
        """Returns the time when the next round or silence timer is due."""
        state = self.state
        timers = state.ward_timers
        next_timer = timers[0][0] if timers else state.round_at
        return min(state.round_at, next_timer)

    def _receive(self, msg: object) -> None:
        if isinstance(msg, Received):
            handler = _PEER_HANDLERS.get(type(msg.payload))
            if handler is not None:
                handler(self.state, msg.sender, msg.payload)
        else:
            _LOCAL_HANDLERS[type(msg)](self.state, msg)

    def _set_own_state(self) -> None:
        state = self.state
        wanted = state.announced_state
        if state.me.state not in (wanted, InstanceState.GONE):
            state.update_own_row(state=wanted)


def _leave(state: State, _: m.Leave) -> None:
    """Withdraws from the addresses; notifies some peers without delay."""
    state.leaving = True
    state.update_own_row(state=InstanceState.LEAVING)
    _notify_some_peers(state)


def _stop(state: State, _: m.Stop) -> None:
    state.update_own_row(state=InstanceState.GONE)
    _notify_some_peers(state)


LEAVE_NOTICE_PEERS = 4
"""Peers that are notified at once when this instance leaves or stops."""


def _notify_some_peers(state: State) -> None:
    others = [n for n in state.table.live_instances if n != state.me.name]
    count = min(LEAVE_NOTICE_PEERS, len(others))
    for name in state.rng.sample(others, count):
        gossip.probe(state, name)


def _set_overload(state: State, msg: m.OverloadChanged) -> None:
    state.overloaded = msg.active


_PEER_HANDLERS: dict[type, Callable[[State, str, object], None]] = {
    m.Probe: gossip.handle_probe,
    m.Ack: gossip.handle_ack,
    m.ProbeFor: gossip.handle_relay_request,
    m.RelayedAck: gossip.handle_relayed_ack,
    m.Buckets: gossip.handle_buckets,
    m.BucketKeys: gossip.handle_keys,
    m.RowsWanted: gossip.handle_rows_request,
    m.Rows: gossip.handle_rows,
    m.WantDocument: documents.handle_document_request,
    m.DocumentCopy: documents.handle_document_copy,
    m.HeardQuery: server_watch.handle_heard_query,
    m.HeardReply: server_watch.handle_heard_reply,
}

_LOCAL_HANDLERS: dict[type, Callable[[State, object], None]] = {
    m.Announce: announcements.handle_announcement,
    m.AddressesRequest: addresses.handle_address_request,
    m.Leave: _leave,
    m.Stop: _stop,
    m.OverloadChanged: _set_overload,
    m.DocumentConfirmed: documents.handle_current_read,
    VersionConfirmed: documents.handle_confirmed,
    DocumentAccepted: documents.handle_accepted,
    DrainReported: announcements.handle_drain,
}
