"""Which instances of ours live: probes, helpers, suspicion, refutation."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from greengagemoor.membership.messages import ProbeFor
from greengagemoor.membership.rows import InstanceState

if TYPE_CHECKING:
    from greengagemoor.membership.rows import InstanceRow
    from greengagemoor.membership.state import Probing, State

RELAYS = 2
RELAY_AFTER_ROUNDS = 1.0
SUSPECT_AFTER_ROUNDS = 3.0
LEAST_SUSPICION_ROUNDS = 4.0
LOOK_AROUND = 4


def check_probes(state: State) -> None:
    """Turns to helpers, then to suspicion, for probes not answered."""
    interval = state.timing.interval
    for number, probing in list(state.probes.items()):
        waited = state.now - probing.sent_at
        if waited >= SUSPECT_AFTER_ROUNDS * interval:
            del state.probes[number]
            _suspect(state, probing.target)
        elif waited >= RELAY_AFTER_ROUNDS * interval and not probing.relayed:
            _ask_relays(state, number, probing)


def _ask_relays(state: State, number: int, probing: Probing) -> None:
    """Asks others to try: a single bad path must not condemn a good peer."""
    probing.relayed = True
    helpers = [
        name
        for name in state.table.live_instances
        if name not in (state.me.name, probing.target)
    ]
    for name in state.rng.sample(helpers, min(RELAYS, len(helpers))):
        state.send(name, ProbeFor(probing.target, number))


def _suspect(state: State, name: str) -> None:
    row = state.table.live_instances.get(name)
    if row is None or row.state is InstanceState.SUSPECT:
        return
    _say(state, row, InstanceState.SUSPECT)
    _look_around(state, row)


def _look_around(state: State, row: InstanceRow) -> None:
    """Probes others of the same data centre next.

    Instances of another data centre are probed seldom. When a whole one is
    lost, finding them one by one takes minutes; one would see callers sent to
    it long after. Each failed probe leads to a few more, so the search grows
    with what it finds and costs nothing while all is well.
    """
    near = state.table.by_data_centre.get(row.data_centre, {})
    fresh = [
        name
        for name, other in near.items()
        if other.state is not InstanceState.SUSPECT
        and name != state.me.name
        and name not in state.look_at
    ]
    count = min(LOOK_AROUND, len(fresh))
    state.look_at.extend(state.rng.sample(fresh, count))


def _say(state: State, row: InstanceRow, new_state: InstanceState) -> None:
    state.take_row(attrs.evolve(row, state=new_state))


def check_suspects(state: State) -> None:
    """Holds suspects for gone when they did not refute in time."""
    for name, until in list(state.suspects.items()):
        row = state.table.live_instances.get(name)
        if row is None or row.state is not InstanceState.SUSPECT:
            del state.suspects[name]
        elif state.now >= until:
            del state.suspects[name]
            _say(state, row, InstanceState.GONE)


def watch_suspect(state: State, row: InstanceRow) -> None:
    """Starts the time in which a suspect may refute."""
    rounds = math.log2(len(state.table.live_instances) + 1)
    rounds = max(LEAST_SUSPICION_ROUNDS, rounds)
    state.suspects[row.name] = state.now + rounds * state.timing.interval


def refute(state: State, row: InstanceRow) -> None:
    """Overrules a word about this process that it did not say itself.

    A process that starts again with its clock set back would stay below its
    own old row for ever; it takes an incarnation above what others know.
    """
    if row.order <= state.me.order:
        return
    if row.incarnation > state.me.incarnation:
        state.me = attrs.evolve(
            state.me, incarnation=row.incarnation + 1, sequence=0
        )
    else:
        state.me = attrs.evolve(state.me, sequence=row.sequence)
    state.set_me()
