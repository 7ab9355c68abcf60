"""Many membership deciders in one process, with every byte counted."""

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

NEAR_S = 0.0005
FAR_S = 0.02
DATA_CENTRES = 6
REGIONS = 2
INTERVAL_S = 1.0
# HTTP/2 and grpc frames, headers after compression, TCP and IP, for the
# request and its receipt; an estimate, added to the measured batch.
FRAME_BYTES = 220


@attrs.define
class Cost:
    """What a node spent."""

    bytes: int = 0
    messages: int = 0
    seconds: float = 0.0


class Many:
    """Nodes over data centres and regions, driven by one event heap."""

    def __init__(self, nodes: int, servers: int = 0, seed: int = 1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self._events: list[tuple] = []
        self._ids = count()
        self._wakes: dict[str, float] = {}
        self.costs: dict[str, Cost] = {}
        self.nodes: dict[str, MembershipDecider] = {}
        self.cut_regions = False
        self.down: set[str] = set()
        self.rows = [self._instance(i) for i in range(nodes)]
        self.servers = [make_server(i, nodes) for i in range(servers)]
        for row in self.rows:
            self._add(row)

    def _instance(self, index: int) -> InstanceRow:
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

    def _add(self, row: InstanceRow) -> None:
        decider = MembershipDecider(
            row,
            {},
            random.Random(self.rng.getrandbits(32)),
            Timing(interval=INTERVAL_S),
        )
        state = decider.state
        for other in (*self.rows, *(ServerRow(s) for s in self.servers)):
            state.table.merge(other, 0.0)
        state.read_version = 0
        state.caught_up = True
        state.fresh = Freshness("g", 1, 1, 0)
        state.fresh_at = 0.0
        state.hot.clear()
        state.changed.clear()
        state.round_at = self.rng.random() * INTERVAL_S
        self.nodes[row.name] = decider
        self.costs[row.name] = Cost()
        self._wake(row.name, state.round_at)

    def _wake(self, name: str, at: float) -> None:
        if at < self._wakes.get(name, float("inf")):
            self._wakes[name] = at
            heapq.heappush(self._events, (at, next(self._ids), name, ()))

    def put(self, name: str, msg: object, after: float = 0.0) -> None:
        """Hands a message to a node."""
        event = (self.now + after, next(self._ids), name, (msg,))
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Runs all events of the next seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, name, msgs = heapq.heappop(self._events)
            self.now = max(at, self.now)
            if not msgs:
                if self._wakes.get(name) != at:
                    continue
                del self._wakes[name]
            if name not in self.down:
                self._step(name, msgs)
        self.now = until

    def _step(self, name: str, msgs: tuple) -> None:
        decider = self.nodes[name]
        cost = self.costs[name]
        start = time.perf_counter()
        # Freshness comes from the control group; without one it is renewed
        # here, so that every node goes on as if confirmed.
        decider.state.fresh_at = self.now
        out = decider.step(self.now, msgs)
        sends = [msg for msg in out if isinstance(msg, Send)]
        sizes = [
            codec.to_batch(name, "10.0.0.1:9000", [m.payload]).ByteSize()
            for m in sends
        ]
        cost.seconds += time.perf_counter() - start
        for msg, size in zip(sends, sizes, strict=True):
            cost.bytes += size + FRAME_BYTES
            cost.messages += 1
            self._carry(name, msg)
        self._wake(name, max(decider.next_wake(), self.now + 1e-4))

    def _carry(self, name: str, msg: Send) -> None:
        if msg.to not in self.nodes:
            return
        here, there = (self.nodes[n].state.me for n in (name, msg.to))
        far = here.region != there.region
        if self.cut_regions and far:
            return
        delay = FAR_S if far else NEAR_S
        self.put(msg.to, Received(name, msg.payload, here.peer_address), delay)

    def reset_costs(self) -> None:
        """Starts counting anew."""
        self.costs = {name: Cost() for name in self.nodes}

    def mean(self) -> Cost:
        """Returns the mean cost of a node."""
        costs = self.costs.values()
        number = len(self.nodes)
        return Cost(
            bytes=sum(c.bytes for c in costs) / number,
            messages=sum(c.messages for c in costs) / number,
            seconds=sum(c.seconds for c in costs) / number,
        )

    def worst_bytes(self) -> float:
        """Returns the bytes of the node that sent most."""
        return max(c.bytes for c in self.costs.values())

    def change_server(self, index: int) -> ServerRow:
        """Has one server raise its sequence, at its first guardian."""
        server = self.servers[index]
        server = attrs.evolve(server, sequence=server.sequence + 1)
        self.servers[index] = server
        guardian = server.announced_to[0]
        row = ServerRow(server)
        self.nodes[guardian].state.now = self.now
        self.nodes[guardian].state.take_row(row)
        return row

    def knowing(self, row: ServerRow) -> int:
        """Returns how many nodes have a row at its order or later."""
        return sum(
            node.state.table.rows[row.key].order >= row.order
            for node in self.nodes.values()
        )


def make_server(index: int, nodes: int) -> BackendServer:
    """Returns one searcher's row, with two guardians."""
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
        announced_to=(f"n{index % nodes}", f"n{(index + 1) % nodes}"),
    )
