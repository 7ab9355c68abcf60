"""Runs many membership deciders in one process and counts their bytes."""

from __future__ import annotations

import heapq
import random
import time
from itertools import count

import attrs

from greengagemoor.backends import BackendServer, HeldVersion, ServerState
from greengagemoor.control.messages import Received, Send
from greengagemoor.membership.decider import MembershipDecider
from greengagemoor.membership.messages import Freshness
from greengagemoor.membership.rows import (
    InstanceRow,
    InstanceState,
    ServerRow,
)
from greengagemoor.membership.state import Timing
from greengagemoor.wire import codec

SAME_REGION_DELAY_S = 0.0005
OTHER_REGION_DELAY_S = 0.02
DATA_CENTRES = 6
REGIONS = 2
GOSSIP_INTERVAL_S = 1.0
FRAMING_BYTES = 220
"""Estimated overhead of a message and its receipt beside the batch: HTTP/2 and
gRPC frames, compressed headers, TCP and IP."""


@attrs.define
class Cost:
    """Bytes and messages sent by an instance, and its processor time."""

    bytes: int = 0
    messages: int = 0
    seconds: float = 0.0


class MembershipModel:
    """Instances in data centres and regions, simulated with an event heap."""

    def __init__(self, instances: int, servers: int = 0, seed: int = 1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self._events: list[tuple] = []
        self._ids = count()
        self._wake_times: dict[str, float] = {}
        self.costs: dict[str, Cost] = {}
        self.deciders: dict[str, MembershipDecider] = {}
        self.cut_regions = False
        self.stopped: set[str] = set()
        self.instance_rows = [
            self._make_instance_row(i) for i in range(instances)
        ]
        self.servers = [make_server_row(i, instances) for i in range(servers)]
        for row in self.instance_rows:
            self._add_instance(row)

    def _make_instance_row(self, index: int) -> InstanceRow:
        data_centre = index % DATA_CENTRES
        return InstanceRow(
            name=f"n{index}",
            incarnation=1,
            sequence=1,
            state=InstanceState.READY,
            peer_address=f"10.0.{index // 250}.{index % 250}:9000",
            http_address=f"10.0.{index // 250}.{index % 250}:8000",
            data_centre=f"dc{data_centre}",
            region=f"r{data_centre % REGIONS}",
            roles=(),
        )

    def _add_instance(self, row: InstanceRow) -> None:
        decider = MembershipDecider(
            row,
            {},
            random.Random(self.rng.getrandbits(32)),
            Timing(interval=GOSSIP_INTERVAL_S),
        )
        state = decider.state
        for other in (
            *self.instance_rows,
            *(ServerRow(s) for s in self.servers),
        ):
            state.table.merge(other, 0.0)
        state.read_version = 0
        state.caught_up = True
        state.fresh = Freshness("g", 1, 1, 0)
        state.fresh_at = 0.0
        state.hot.clear()
        state.changed.clear()
        state.round_at = self.rng.random() * GOSSIP_INTERVAL_S
        self.deciders[row.name] = decider
        self.costs[row.name] = Cost()
        self._schedule_wake(row.name, state.round_at)

    def _schedule_wake(self, name: str, due_at: float) -> None:
        if due_at < self._wake_times.get(name, float("inf")):
            self._wake_times[name] = due_at
            heapq.heappush(self._events, (due_at, next(self._ids), name, ()))

    def deliver(self, name: str, msg: object, delay_s: float = 0.0) -> None:
        """Schedules a message to an instance."""
        event = (self.now + delay_s, next(self._ids), name, (msg,))
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Runs the simulation for a number of seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            due_at, _, name, msgs = heapq.heappop(self._events)
            self.now = max(due_at, self.now)
            if not msgs:
                if self._wake_times.get(name) != due_at:
                    continue
                del self._wake_times[name]
            if name not in self.stopped:
                self._step(name, msgs)
        self.now = until

    def _step(self, name: str, msgs: tuple) -> None:
        decider = self.deciders[name]
        cost = self.costs[name]
        start = time.perf_counter()
        # No control group runs here to renew freshness, so it is renewed
        # before each step, as if the instance had been confirmed.
        decider.state.fresh_at = self.now
        out = decider.step(self.now, msgs)
        sends = [msg for msg in out if isinstance(msg, Send)]
        sizes = [
            codec.to_batch(name, "10.0.0.1:9000", [m.payload]).ByteSize()
            for m in sends
        ]
        cost.seconds += time.perf_counter() - start
        for msg, size in zip(sends, sizes, strict=True):
            cost.bytes += size + FRAMING_BYTES
            cost.messages += 1
            self._transmit(name, msg)
        self._schedule_wake(name, max(decider.next_wake(), self.now + 1e-4))

    def _transmit(self, name: str, msg: Send) -> None:
        if msg.to not in self.deciders:
            return
        sender, receiver = (self.deciders[n].state.me for n in (name, msg.to))
        crosses_regions = sender.region != receiver.region
        if self.cut_regions and crosses_regions:
            return
        delay = OTHER_REGION_DELAY_S if crosses_regions else SAME_REGION_DELAY_S
        self.deliver(
            msg.to, Received(name, msg.payload, sender.peer_address), delay
        )

    def reset_costs(self) -> None:
        """Sets all costs to zero."""
        self.costs = {name: Cost() for name in self.deciders}

    def mean_cost(self) -> Cost:
        """Returns the mean cost of an instance."""
        costs = self.costs.values()
        instance_count = len(self.deciders)
        return Cost(
            bytes=sum(c.bytes for c in costs) / instance_count,
            messages=sum(c.messages for c in costs) / instance_count,
            seconds=sum(c.seconds for c in costs) / instance_count,
        )

    def max_bytes(self) -> float:
        """Returns the largest number of bytes that an instance sent."""
        return max(c.bytes for c in self.costs.values())

    def change_server(self, index: int) -> ServerRow:
        """Increments a server's sequence at the first entry it announces to."""
        server = self.servers[index]
        server = attrs.evolve(server, sequence=server.sequence + 1)
        self.servers[index] = server
        entry = server.announced_to[0]
        row = ServerRow(server)
        self.deciders[entry].state.now = self.now
        self.deciders[entry].state.merge_row(row)
        return row

    def count_holding(self, row: ServerRow) -> int:
        """Returns how many instances hold this row or a later one."""
        return sum(
            decider.state.table.rows[row.key].order >= row.order
            for decider in self.deciders.values()
        )


def make_server_row(index: int, instances: int) -> BackendServer:
    """Returns the row of a searcher that announces itself to two entries."""
    data_centre = index % DATA_CENTRES
    return BackendServer(
        name=f"searcher-{index}",
        incarnation=1_700_000_000_000,
        sequence=1,
        address=f"10.1.{index // 250}.{index % 250}:7000",
        data_centre=f"dc{data_centre}",
        service=f"service-{index // 260}",
        state=ServerState.READY,
        versions=(
            HeldVersion(1, 520, (2 * (index % 260), 2 * (index % 260) + 1)),
        ),
        slots=4,
        connection_cap=45,
        announced_to=(f"n{index % instances}", f"n{(index + 1) % instances}"),
    )
