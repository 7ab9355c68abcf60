"""Anti-entropy: probes carry changed rows, digests find what they missed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from greengagemoor.membership import documents, failure_detector
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
from greengagemoor.membership.state import PendingProbe

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.membership.rows import Row
    from greengagemoor.membership.state import State

MAX_ROWS_PER_PROBE = 24
MAX_BUCKETS_PER_REPLY = 16
MIN_DIFFERING_ACKS = 3
"""Consecutive acks with a different root after which tables are compared."""
REMOTE_PROBES_PER_ROUND = 4.0
"""Probes to other data centres, by all instances of a data centre together."""
MAX_REMOTE_SHARE = 0.3
"""Largest share of an instance's probes that go to other data centres."""
OTHER_REGION_SHARE = 0.25
"""Share of the remote probes that go to another region."""
LOST_PROBE_EVERY_ROUNDS = 10
MAX_SUSPICION_PROBES_PER_ROUND = 4
EXTRA_SENDS_PER_ROW = 2
"""Sends of a changed row beyond the binary logarithm of the instance count."""


def run_round(state: State) -> None:
    """Probes a peer, peers near suspects, and regularly a lost instance."""
    state.round_at = state.now + state.timing.interval
    state.counters.rounds += 1
    target = _select_target(state)
    if target:
        probe(state, target)
    for name in state.look_at[:MAX_SUSPICION_PROBES_PER_ROUND]:
        probe(state, name)
    del state.look_at[:MAX_SUSPICION_PROBES_PER_ROUND]
    if not target or state.counters.rounds % LOST_PROBE_EVERY_ROUNDS == 0:
        _probe_lost(state)
    for key in state.table.remove_tombstones(
        state.now - state.timing.tombstone
    ):
        state.wards.pop(key, None)


def _select_target(state: State) -> str | None:
    """Selects a peer: local ones in turn, some in other data centres.

    The share of remote probes falls with the size of the data centre, so that
    a change crosses a slow link a few times per round, not once per instance.
    """
    if len(state.table.live_instances) < 2:
        return None
    if state.rng.random() < _remote_share(state):
        remote = _remote_peers(state)
        if remote:
            return state.rng.choice(remote)
    return _next_local_peer(state)


def _remote_share(state: State) -> float:
    local = state.table.by_data_centre.get(state.me.data_centre, ())
    return min(MAX_REMOTE_SHARE, REMOTE_PROBES_PER_ROUND / max(1, len(local)))


def _remote_peers(state: State) -> list[str]:
    other_region = state.rng.random() < OTHER_REGION_SHARE
    others = [
        row
        for row in state.table.live_instances.values()
        if row.data_centre != state.me.data_centre
    ]
    wanted = [
        peer.name
        for peer in others
        if (peer.region != state.me.region) == other_region
    ]
    return wanted or [row.name for row in others]


def _next_local_peer(state: State) -> str | None:
    """Returns the next local peer, in shuffled cycles: none waits long."""
    while True:
        if not state.targets:
            state.targets = _shuffled_peers(state)
            if not state.targets:
                return None
        name = state.targets.pop()
        if name in state.table.live_instances:
            return name


def _shuffled_peers(state: State) -> list[str]:
    table, me = state.table, {state.me.name}
    local = set(table.by_data_centre.get(state.me.data_centre, ())) - me
    names = sorted(local or set(table.live_instances) - me)
    state.rng.shuffle(names)
    return names


def _probe_lost(state: State) -> None:
    """Probes a seed or an instance that is marked as gone.

    After a long network partition, each side has marked the other as gone and
    no live peer connects them; without this probe they would never merge.
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
    """Sends a probe with the changed rows that were sent least often."""
    number = state.next_probe
    state.next_probe += 1
    if not relay_for:
        state.probes[number] = PendingProbe(target, state.now)
    message = Probe(
        number=number,
        root=state.table.root,
        document_version=state.document_version,
        fresh=state.fresh,
        rows=_rows_for(state, target),
        relay_for=relay_for,
        relay_number=relay_number,
    )
    state.send(target, message)


def _rows_for(state: State, target: str) -> Rows:
    """Returns the rows sent least often, and what the target must refute."""
    max_sends = _max_sends(state)
    keys = sorted(state.hot, key=state.hot.__getitem__)[:MAX_ROWS_PER_PROBE]
    for key in keys:
        state.hot[key] += 1
        if state.hot[key] >= max_sends:
            del state.hot[key]
    rows = [state.table.rows[key] for key in keys if key in state.table.rows]
    target_row = state.table.rows.get(f"i:{target}")
    refutable_states = (InstanceState.SUSPECT, InstanceState.GONE)
    if (
        target_row is not None
        and target_row.state in refutable_states
        and target_row not in rows
    ):
        rows.append(target_row)
    return _to_rows(rows)


def _max_sends(state: State) -> int:
    count = len(state.table.live_instances) + 1
    return math.ceil(math.log2(count + 1)) + EXTRA_SENDS_PER_ROW


def _to_rows(rows: Iterable[Row]) -> Rows:
    rows = list(rows)
    return Rows(
        instances=tuple(r for r in rows if isinstance(r, InstanceRow)),
        servers=tuple(r for r in rows if isinstance(r, ServerRow)),
    )


def handle_probe(state: State, sender: str, msg: Probe) -> None:
    """Merges the rows of a probe, and answers with changed rows."""
    merge_rows(state, sender, msg.rows)
    documents.handle_peer_version(
        state, sender, msg.document_version, msg.fresh
    )
    ack = Ack(
        number=msg.number,
        root=state.table.root,
        document_version=state.document_version,
        fresh=state.fresh,
        rows=_rows_for(state, sender),
        relay_for=msg.relay_for,
        relay_number=msg.relay_number,
    )
    state.send(sender, ack)


def handle_ack(state: State, sender: str, msg: Ack) -> None:
    """Completes a probe; compares digests if the roots keep differing."""
    if msg.relay_for:
        state.send(msg.relay_for, RelayedAck(msg.relay_number))
    state.probes.pop(msg.number, None)
    merge_rows(state, sender, msg.rows)
    documents.handle_peer_version(
        state, sender, msg.document_version, msg.fresh
    )
    _compare_if_diverged(state, sender, msg.root)


def _compare_if_diverged(state: State, sender: str, root: int) -> None:
    """Compares tables only if changed rows alone do not make them equal.

    While changes spread, most roots differ for a few rounds; a comparison
    each time would cost the bytes that sending only changes saves.
    """
    if root == state.table.root:
        state.differing_rounds = 0
        state.caught_up = True
        return
    state.differing_rounds += 1
    if state.differing_rounds >= MIN_DIFFERING_ACKS or not state.caught_up:
        state.differing_rounds = 0
        state.counters.compared += 1
        state.send(sender, Buckets(state.table.pack_digests()))


def handle_relay_request(state: State, sender: str, msg: ProbeFor) -> None:
    """Probes an instance on behalf of one that got no answer from it."""
    probe(state, msg.target, relay_for=sender, relay_number=msg.number)


def handle_relayed_ack(state: State, _: str, msg: RelayedAck) -> None:
    """Completes a probe whose target answered another instance."""
    state.probes.pop(msg.number, None)


def handle_buckets(state: State, sender: str, msg: Buckets) -> None:
    """Replies with the keys in the buckets that differ."""
    differing = [
        bucket
        for bucket in state.table.differing_buckets(msg.digests)
        if bucket >= msg.start
    ]
    chosen = tuple(differing[:MAX_BUCKETS_PER_REPLY])
    keys = tuple(
        RowKey(key, *row.order)
        for bucket in chosen
        for key, row in state.table.buckets[bucket].items()
    )
    remaining = differing[MAX_BUCKETS_PER_REPLY:]
    state.send(
        sender, BucketKeys(chosen, keys, remaining[0] if remaining else 0)
    )


def handle_keys(state: State, sender: str, msg: BucketKeys) -> None:
    """Sends rows that the sender lacks or has older; requests newer ones."""
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
        state.send(sender, _to_rows([*newer_here, *only_here]))
    if wanted:
        state.send(sender, RowsWanted(wanted))
    if msg.next:
        state.send(sender, Buckets(state.table.pack_digests(), msg.next))
    elif wanted:
        state.awaits_last_rows = True
    else:
        state.caught_up = True


def handle_rows(state: State, sender: str, msg: Rows) -> None:
    """Merges rows sent without a probe, at the end of a comparison."""
    merge_rows(state, sender, msg)
    if state.awaits_last_rows:
        state.caught_up = True


def handle_rows_request(state: State, sender: str, msg: RowsWanted) -> None:
    """Sends the requested rows."""
    known = state.table.rows
    rows = [known[key] for key in msg.keys if key in known]
    if rows:
        state.send(sender, _to_rows(rows))


def merge_rows(state: State, _: str, msg: Rows) -> None:
    """Merges rows, and refutes wrong rows about this instance."""
    for row in (*msg.instances, *msg.servers):
        if row.key == state.me.key:
            failure_detector.refute(state, row)
        else:
            state.merge_row(row)
