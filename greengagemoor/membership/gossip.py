"""Anti-entropy: news travels with probes, and digests find what it missed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from greengagemoor.membership import documents, liveness
from greengagemoor.membership.messages import (
    Ack,
    BucketKeys,
    Buckets,
    Probe,
    ProbeFor,
    RelayedAck,
    RowKey,
    Rows,
    RowsWanted,
)
from greengagemoor.membership.rows import InstanceRow, InstanceState, ServerRow
from greengagemoor.membership.state import Probing

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.membership.rows import Row
    from greengagemoor.membership.state import State

MOST_ROWS = 24
MOST_BUCKETS = 16
DIFFERING_ROUNDS = 3
REMOTE_EXCHANGES = 4.0
MOST_REMOTE_SHARE = 0.3
FAR_SHARE = 0.25
SEED_EVERY = 10
MOST_LOOKS = 4
EXTRA_SENDS = 2


def run_round(state: State) -> None:
    """Sends one probe a round to a peer, and now and then to a lost one."""
    state.round_at = state.now + state.timing.interval
    state.counters.rounds += 1
    target = _pick_target(state)
    if target:
        probe(state, target)
    for name in state.look_at[:MOST_LOOKS]:
        probe(state, name)
    del state.look_at[:MOST_LOOKS]
    if not target or state.counters.rounds % SEED_EVERY == 0:
        _probe_lost(state)
    for key in state.table.forget_gone(state.now - state.timing.tombstone):
        state.wards.pop(key, None)


def _pick_target(state: State) -> str | None:
    """Picks a peer: mostly near ones in turn, few in other data centres.

    The share of far exchanges falls with the size of the data centre, so
    that a change crosses a slow link a few times a round and not once a node.
    """
    if len(state.table.live_instances) < 2:
        return None
    if state.rng.random() < _remote_share(state):
        remote = _remote_peers(state)
        if remote:
            return state.rng.choice(remote)
    return _next_in_turn(state)


def _remote_share(state: State) -> float:
    near = state.table.by_data_centre.get(state.me.data_centre, ())
    return min(MOST_REMOTE_SHARE, REMOTE_EXCHANGES / max(1, len(near)))


def _remote_peers(state: State) -> list[str]:
    far = state.rng.random() < FAR_SHARE
    others = [
        row
        for row in state.table.live_instances.values()
        if row.data_centre != state.me.data_centre
    ]
    wanted = [r.name for r in others if (r.region != state.me.region) == far]
    return wanted or [row.name for row in others]


def _next_in_turn(state: State) -> str | None:
    """Goes through all near peers in random order: none is probed late."""
    while True:
        if not state.targets:
            state.targets = _turn(state)
            if not state.targets:
                return None
        name = state.targets.pop()
        if name in state.table.live_instances:
            return name


def _turn(state: State) -> list[str]:
    table, me = state.table, {state.me.name}
    near = set(table.by_data_centre.get(state.me.data_centre, ())) - me
    names = sorted(near or set(table.live_instances) - me)
    state.rng.shuffle(names)
    return names


def _probe_lost(state: State) -> None:
    """Probes a seed or an instance held for gone.

    After a long cut both sides hold each other for gone and no live peer
    connects them; without this they would never meet again.
    """
    gone = [
        key.removeprefix("i:")
        for key in state.table.gone_since
        if key.startswith("i:")
    ]
    live = state.table.live_instances
    lost = sorted({*gone, *(s for s in state.seeds if s not in live)})
    if lost:
        probe(state, state.rng.choice(lost))


def probe(
    state: State, target: str, relay_for: str = "", relay_number: int = 0
) -> None:
    """Sends a probe with the hottest news."""
    number = state.next_probe
    state.next_probe += 1
    if not relay_for:
        state.probes[number] = Probing(target, state.now)
    message = Probe(
        number=number,
        root=state.table.root,
        document_version=state.document_version,
        fresh=state.fresh,
        rows=_news_for(state, target),
        relay_for=relay_for,
        relay_number=relay_number,
    )
    state.send(target, message)


def _news_for(state: State, target: str) -> Rows:
    """Takes the rows sent least often, and what the target must refute."""
    most_sends = _sends_each(state)
    keys = sorted(state.hot, key=state.hot.__getitem__)[:MOST_ROWS]
    for key in keys:
        state.hot[key] += 1
        if state.hot[key] >= most_sends:
            del state.hot[key]
    rows = [state.table.rows[key] for key in keys if key in state.table.rows]
    about = state.table.rows.get(f"i:{target}")
    doubted = (InstanceState.SUSPECT, InstanceState.GONE)
    if about is not None and about.state in doubted and about not in rows:
        rows.append(about)
    return _pack(rows)


def _sends_each(state: State) -> int:
    count = len(state.table.live_instances) + 1
    return math.ceil(math.log2(count + 1)) + EXTRA_SENDS


def _pack(rows: Iterable[Row]) -> Rows:
    rows = list(rows)
    return Rows(
        instances=tuple(r for r in rows if isinstance(r, InstanceRow)),
        servers=tuple(r for r in rows if isinstance(r, ServerRow)),
    )


def take_probe(state: State, sender: str, msg: Probe) -> None:
    """Answers a probe with own news."""
    take_rows(state, sender, msg.rows)
    documents.hear(state, sender, msg.document_version, msg.fresh)
    ack = Ack(
        number=msg.number,
        root=state.table.root,
        document_version=state.document_version,
        fresh=state.fresh,
        rows=_news_for(state, sender),
        relay_for=msg.relay_for,
        relay_number=msg.relay_number,
    )
    state.send(sender, ack)


def take_ack(state: State, sender: str, msg: Ack) -> None:
    """Ends a probe; compares digests when they go on differing."""
    if msg.relay_for:
        state.send(msg.relay_for, RelayedAck(msg.relay_number))
    state.probes.pop(msg.number, None)
    take_rows(state, sender, msg.rows)
    documents.hear(state, sender, msg.document_version, msg.fresh)
    _compare_when_stuck(state, sender, msg.root)


def _compare_when_stuck(state: State, sender: str, root: int) -> None:
    """Compares tables only when news alone doesn't make them equal.

    While news is under way most roots differ for a few rounds; comparing each
    time would cost the bytes that news saves.
    """
    if root == state.table.root:
        state.differing_rounds = 0
        state.caught_up = True
        return
    state.differing_rounds += 1
    if state.differing_rounds >= DIFFERING_ROUNDS or not state.caught_up:
        state.differing_rounds = 0
        state.counters.compared += 1
        state.send(sender, Buckets(state.table.pack_digests()))


def take_relay_request(state: State, sender: str, msg: ProbeFor) -> None:
    """Probes an instance for another that could not reach it."""
    probe(state, msg.target, relay_for=sender, relay_number=msg.number)


def take_relayed_ack(state: State, _: str, msg: RelayedAck) -> None:
    """Ends a probe whose target answered another instance."""
    state.probes.pop(msg.number, None)


def take_buckets(state: State, sender: str, msg: Buckets) -> None:
    """Answers with the keys of the buckets that differ."""
    differing = [
        bucket
        for bucket in state.table.differing(msg.digests)
        if bucket >= msg.start
    ]
    chosen = tuple(differing[:MOST_BUCKETS])
    keys = tuple(
        RowKey(key, *row.order)
        for bucket in chosen
        for key, row in state.table.buckets[bucket].items()
    )
    left = differing[MOST_BUCKETS:]
    state.send(sender, BucketKeys(chosen, keys, left[0] if left else 0))


def take_keys(state: State, sender: str, msg: BucketKeys) -> None:
    """Sends what the sender lacks, and asks for what it has newer."""
    theirs = {key.key: key.order for key in msg.keys}
    known = state.table.rows
    newer_here = [
        known[key]
        for key, order in theirs.items()
        if key in known and known[key].order > order
    ]
    only_here = [
        row
        for bucket in msg.buckets
        if 0 <= bucket < len(state.table.buckets)
        for key, row in state.table.buckets[bucket].items()
        if key not in theirs
    ]
    wanted = tuple(
        key
        for key, order in theirs.items()
        if key not in known or known[key].order < order
    )
    if newer_here or only_here:
        state.send(sender, _pack([*newer_here, *only_here]))
    if wanted:
        state.send(sender, RowsWanted(wanted))
    if msg.next:
        state.send(sender, Buckets(state.table.pack_digests(), msg.next))
    elif wanted:
        state.awaits_last_rows = True
    else:
        state.caught_up = True


def take_rows_alone(state: State, sender: str, msg: Rows) -> None:
    """Merges rows that came without a probe, as the end of a comparison."""
    take_rows(state, sender, msg)
    if state.awaits_last_rows:
        state.caught_up = True


def take_wanted(state: State, sender: str, msg: RowsWanted) -> None:
    """Sends the rows asked for."""
    known = state.table.rows
    rows = [known[key] for key in msg.keys if key in known]
    if rows:
        state.send(sender, _pack(rows))


def take_rows(state: State, _: str, msg: Rows) -> None:
    """Merges rows, and refutes what is wrong about this process."""
    for row in (*msg.instances, *msg.servers):
        if row.key == state.me.key:
            liveness.refute(state, row)
        else:
            state.take_row(row)
