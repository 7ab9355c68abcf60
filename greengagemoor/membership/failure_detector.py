"""Failure detection of instances: probes, relays, suspicion, refutation."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from greengagemoor.membership.messages import ProbeFor
from greengagemoor.membership.rows import InstanceState

if TYPE_CHECKING:
    from greengagemoor.membership.rows import InstanceRow
    from greengagemoor.membership.state import PendingProbe, State

RELAY_COUNT = 2
RELAY_AFTER_ROUNDS = 1.0
SUSPECT_AFTER_ROUNDS = 3.0
MIN_SUSPICION_ROUNDS = 4.0
PROBES_PER_SUSPECT = 4


def check_probes(state: State) -> None:
    """Relays unanswered probes, then marks their targets as suspect."""
    interval = state.timing.interval
    for number, probing in list(state.probes.items()):
        waited = state.now - probing.sent_at
        if waited >= SUSPECT_AFTER_ROUNDS * interval:
            del state.probes[number]
            _suspect(state, probing.target)
        elif waited >= RELAY_AFTER_ROUNDS * interval and not probing.relayed:
            _ask_relays(state, number, probing)


def _ask_relays(state: State, number: int, probing: PendingProbe) -> None:
    """Asks others to probe: one bad path must not make a peer suspect."""
    probing.relayed = True
    candidates = [
        name
        for name in state.table.live_instances
        if name not in (state.me.name, probing.target)
    ]
    for name in state.rng.sample(candidates, min(RELAY_COUNT, len(candidates))):
        state.send(name, ProbeFor(probing.target, number))


def _suspect(state: State, name: str) -> None:
    row = state.table.live_instances.get(name)
    if row is None or row.state is InstanceState.SUSPECT:
        return
    _set_state(state, row, InstanceState.SUSPECT)
    _schedule_neighbour_probes(state, row)


def _schedule_neighbour_probes(state: State, row: InstanceRow) -> None:
    """Schedules probes of other instances in the suspect's data centre.

    Instances of other data centres are probed seldom. When a whole data
    centre is lost, finding them one by one would take minutes, while callers
    are still sent there. Each failed probe leads to a few more, so the search
    grows with the failures found and costs nothing without any.
    """
    neighbours = state.table.by_data_centre.get(row.data_centre, {})
    unscheduled = [
        name
        for name, other in neighbours.items()
        if other.state is not InstanceState.SUSPECT
        and name != state.me.name
        and name not in state.look_at
    ]
    count = min(PROBES_PER_SUSPECT, len(unscheduled))
    state.look_at.extend(state.rng.sample(unscheduled, count))


def _set_state(
    state: State, row: InstanceRow, new_state: InstanceState
) -> None:
    state.merge_row(attrs.evolve(row, state=new_state))


def check_suspects(state: State) -> None:
    """Marks suspects as gone that did not refute in time."""
    for name, until in list(state.suspects.items()):
        row = state.table.live_instances.get(name)
        if row is None or row.state is not InstanceState.SUSPECT:
            del state.suspects[name]
        elif state.now >= until:
            del state.suspects[name]
            _set_state(state, row, InstanceState.GONE)


def start_suspicion(state: State, row: InstanceRow) -> None:
    """Starts the period in which a suspect may refute."""
    rounds = math.log2(len(state.table.live_instances) + 1)
    rounds = max(MIN_SUSPICION_ROUNDS, rounds)
    state.suspects[row.name] = state.now + rounds * state.timing.interval


def refute(state: State, row: InstanceRow) -> None:
    """Overrules a newer row about this instance that it did not send.

    An instance that restarts with its clock set back would stay below its own
    old row forever; it takes an incarnation above the one that others hold.
    """
    if row.order <= state.me.order:
        return
    if row.incarnation > state.me.incarnation:
        state.me = attrs.evolve(
            state.me, incarnation=row.incarnation + 1, sequence=0
        )
    else:
        state.me = attrs.evolve(state.me, sequence=row.sequence)
    state.update_own_row()
