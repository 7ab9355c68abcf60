"""Measures how costs grow with nodes, rows, changes and services.

``make slopes`` prints each series, its straight-line fit and the largest error
of the fit. docs/CAPACITY.md is worked out from these figures.
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import time
import tracemalloc
import zlib
from typing import TYPE_CHECKING

from bench.many import INTERVAL_S, Many
from greengagemoor.control.commands import ApplyDocument, Claim
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.ledger import Ledger
from greengagemoor.control.messages import (
    OpKind,
    OpRequest,
    Persist,
    Persisted,
    Received,
    Recovered,
    Send,
)
from greengagemoor.document import parse_document
from greengagemoor.membership.rows import ServerRow
from greengagemoor.membership.table import Table
from greengagemoor.wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

ROUNDS = 20


def report(
    what: str, xs: Sequence[float], ys: Sequence[float], unit: str
) -> None:
    """Prints a series and its straight line."""
    fit = statistics.linear_regression(xs, ys)
    errors = [
        abs(fit.slope * x + fit.intercept - y)
        for x, y in zip(xs, ys, strict=True)
    ]
    points = ", ".join(f"{x:g}: {y:.4g}" for x, y in zip(xs, ys, strict=True))
    print(
        f"{what}: {points} -> {fit.slope:.4g} a unit + {fit.intercept:.4g} "
        f"{unit} (largest error {max(errors):.2g})",
        flush=True,
    )


def idle_by_nodes() -> None:
    """Costs of a quiet second against the number of nodes."""
    sizes = (100, 200, 400, 800)
    costs = []
    for nodes in sizes:
        many = Many(nodes)
        many.run(3.0)
        many.reset_costs()
        many.run(ROUNDS)
        costs.append(many.mean())
    report(
        "idle bytes/s by nodes", sizes, [c.bytes / ROUNDS for c in costs], "B/s"
    )
    report(
        "idle processor by nodes",
        sizes,
        [1e6 * c.seconds / ROUNDS for c in costs],
        "us/s",
    )


def idle_by_rows() -> None:
    """Costs of a quiet second against the number of searchers."""
    sizes = (500, 2000, 4000, 8000)
    costs = []
    for rows in sizes:
        many = Many(60, rows)
        many.run(3.0)
        many.reset_costs()
        many.run(ROUNDS)
        costs.append(many.mean())
    report(
        "idle bytes/s by rows", sizes, [c.bytes / ROUNDS for c in costs], "B/s"
    )
    report(
        "idle processor by rows",
        sizes,
        [1e6 * c.seconds / ROUNDS for c in costs],
        "us/s",
    )


def changes() -> None:
    """Costs for each change of a row, and rounds until all know it."""
    rates = (0, 1, 2, 4)
    costs = []
    for rate in rates:
        many = Many(200, 1000)
        many.run(3.0)
        many.reset_costs()
        for second in range(ROUNDS):
            for number in range(rate):
                many.change_server((second * rate + number) % 1000)
            many.run(1.0)
        costs.append(many.mean())
    report(
        "bytes/s by changes/s, 200 nodes",
        rates,
        [c.bytes / ROUNDS for c in costs],
        "B/s",
    )
    report(
        "processor by changes/s, 200 nodes",
        rates,
        [1e6 * c.seconds / ROUNDS for c in costs],
        "us/s",
    )


def spread() -> None:
    """Rounds until half and all of the nodes know a change."""
    sizes = (100, 200, 400, 800)
    lasts = []
    for nodes in sizes:
        many = Many(nodes, 100)
        many.run(3.0)
        row = many.change_server(3)
        rounds = 0
        while many.knowing(row) < nodes and rounds < 100:
            many.run(INTERVAL_S / 2)
            rounds += 0.5
        lasts.append(rounds)
    report("rounds until all know, by nodes", sizes, lasts, "rounds")


def joining() -> None:
    """Bytes that a restarted node needs to learn all rows again."""
    sizes = (500, 1000, 2000, 4000)
    needed = []
    for rows in sizes:
        many = Many(30, rows)
        many.run(3.0)
        state = many.nodes["n0"].state
        state.table = Table()
        state.take_row(state.me)
        state.table.merge(many.rows[1], 0.0)
        state.caught_up = False
        many.reset_costs()
        full = rows + 30
        while len(state.table.rows) < full and many.now < 120:
            many.run(0.5)
        total = sum(c.bytes for c in many.costs.values())
        quiet = 30 * 500 * many.now
        needed.append(max(0.0, total - quiet) if many.now < 120 else 0.0)
        print(f"  {rows} rows learnt at {many.now:.1f} s")
    report("bytes to learn all rows", sizes, needed, "B")


def memory_of_rows() -> None:
    """Memory of a table row, decoded from the wire as in a process."""
    many = Many(2)
    sizes = (1000, 2000, 4000)
    used = []
    for rows in sizes:
        from bench.many import make_server

        data = [
            codec.encode(ServerRow(make_server(i, 100))) for i in range(rows)
        ]
        tracemalloc.start()
        table = Table()
        for item in data:
            table.merge(codec.decode(item, ServerRow), 0.0)
        used.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    report("memory of table rows", sizes, used, "B")
    del many


def make_text(services: int) -> str:
    """Returns a document of services with 260 searchers for every 5."""
    cls = [{"name": "lookup"}, {"name": "book", "repeatable": False}]
    return json.dumps(
        {
            "entries": [f"entry-{i}" for i in range(200)],
            "connection_places": 200,
            "services": [
                {
                    "name": f"service-{s}",
                    "backend_servers": [
                        {
                            "name": f"searcher-{s}-{i}",
                            "connection_cap": 200,
                            "slots": 4,
                        }
                        for i in range(52)
                    ],
                    "request_classes": cls,
                }
                for s in range(services)
            ],
        }
    )


def documents() -> None:
    """Size and time of a document against its searchers."""
    services = (10, 50, 100, 250)
    searchers = [52 * number for number in services]
    sizes, packed, times = [], [], []
    for number in services:
        text = make_text(number)
        start = time.process_time()
        parse_document(text)
        times.append(1000 * (time.process_time() - start))
        sizes.append(len(text))
        packed.append(len(zlib.compress(text.encode())))
    report("document bytes by searchers", searchers, sizes, "B")
    report("packed document by searchers", searchers, packed, "B")
    report("document parsing by searchers", searchers, times, "ms")


class Group:
    """Three control deciders without a network: costs of each operation."""

    def __init__(self):
        self.now = 0.0
        names = ("c1", "c2", "c3")
        self.members = {
            n: ControlDecider(
                f"{n}#x",
                f"{n}:1",
                {o: f"{o}:1" for o in names if o != n},
                random.Random(n),
                new_group=True,
            )
            for n in names
        }
        self.bytes = 0
        self.messages = 0
        self.syncs = 0
        self.queue: list[tuple[str, object]] = [
            (n, Recovered(None, None, ())) for n in names
        ]
        while len(self._voters()) < 3:
            self.tick()

    def _voters(self) -> list[str]:
        leader = self.leader()
        return self.members[leader].state.voters if leader else []

    def leader(self) -> str:
        """Returns the leader's name, or ''."""
        leading = [
            n for n, d in self.members.items() if d.state.role.value == "leader"
        ]
        return leading[0] if leading else ""

    def tick(self, seconds: float = 0.01) -> None:
        """Steps every member with what waits for it."""
        self.now += seconds
        waiting, self.queue = self.queue, []
        for name, decider in self.members.items():
            msgs = [msg for to, msg in waiting if to == name]
            for msg in decider.step(self.now, msgs):
                self._act(name, msg)

    def _act(self, name: str, msg: object) -> None:
        if isinstance(msg, Persist):
            self.syncs += 1
            self.queue.append((name, Persisted(msg.op)))
        elif isinstance(msg, Send):
            batch = codec.to_batch(name, "10.0.0.1:9000", [msg.payload])
            self.bytes += batch.ByteSize()
            self.messages += 1
            self.queue.append((msg.to, Received(name, msg.payload)))

    def operate(self, requests: list[OpRequest]) -> int:
        """Gives the leader operations; returns ticks until all are done."""
        leader = self.leader()
        last = self.members[leader].state.log.last_index + len(requests)
        self.queue += [(leader, Received("asker", r)) for r in requests]
        ticks = 0
        while any(d.state.applied < last for d in self.members.values()):
            self.tick(0.001)
            ticks += 1
        return ticks


def claim(number: int, now: float) -> OpRequest:
    """Returns a claim of a new request."""
    command = Claim(
        "atlas", f"{int(now * 1000)}-{number}", f"e/{number}", now, 10.0, now
    )
    return OpRequest(number, OpKind.CLAIM, command)


def control() -> None:
    """Costs of the control group: idle, apply, claims, ledger."""
    group = Group()
    start, sent = time.process_time(), group.bytes
    for _ in range(2000):
        group.tick()
    seconds = 20.0
    print(
        f"control idle: {(group.bytes - sent) / seconds / 3:.0f} B/s and "
        f"{1e6 * (time.process_time() - start) / seconds / 3:.0f} us/s a member"
    )
    text = make_text(1)
    syncs, sent = group.syncs, group.bytes
    ticks = group.operate(
        [OpRequest(1, OpKind.APPLY, ApplyDocument("a", 0, text, 0.0))]
    )
    print(
        f"apply: in force on all members after {ticks} message steps, "
        f"{group.syncs - syncs} syncs, {group.bytes - sent} B sent for a "
        f"document of {len(text)} B"
    )
    counts = (200, 400, 800)
    times, sizes = [], []
    for count in counts:
        syncs, sent = group.syncs, group.bytes
        start = time.process_time()
        group.operate([claim(i, group.now) for i in range(count)])
        times.append(1e6 * (time.process_time() - start))
        sizes.append(group.bytes - sent)
    print(f"claims: {group.syncs - syncs} syncs for the last {counts[-1]}")
    report("processor of claims, three members", counts, times, "us")
    report("bytes of claims, three members", counts, sizes, "B")
    ledger()


def ledger() -> None:
    """Memory and snapshot size of the ledger against its ids."""
    counts = (2000, 4000, 8000)
    used, saved, times = [], [], []
    for count in counts:
        commands = [claim(i, 1000.0).command for i in range(count)]
        tracemalloc.start()
        table = Ledger()
        for command in commands:
            table.claim(command)
        used.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        start = time.process_time()
        saved.append(len(table.save()))
        times.append(1e6 * (time.process_time() - start))
    report("ledger memory by ids", counts, used, "B")
    report("ledger snapshot by ids", counts, saved, "B")
    report("ledger snapshot time by ids", counts, times, "us")


def region_cut() -> None:
    """What an hour without the link between regions costs when it heals."""
    for nodes in (60, 120, 240):
        many = Many(nodes, nodes * 3)
        many.run(3.0)
        many.cut_regions = True
        many.run(60.0)
        gone = sum(
            len(n.state.table.live_instances) < nodes
            for n in many.nodes.values()
        )
        many.cut_regions = False
        many.reset_costs()
        start = many.now
        while not _all_equal(many, nodes) and many.now - start < 300:
            many.run(1.0)
        took = many.now - start
        print(
            f"region cut, {nodes} nodes: {gone} nodes had parted; equal "
            f"{took:.0f} rounds after healing; {many.mean().bytes / took:.0f} "
            f"B/s a node meanwhile",
            flush=True,
        )


def _all_equal(many: Many, nodes: int) -> bool:
    tables = [node.state.table for node in many.nodes.values()]
    whole = all(len(table.live_instances) == nodes for table in tables)
    return whole and len({table.root for table in tables}) == 1


def data_centre_loss() -> None:
    """What the loss of a data centre and of a rack costs the others."""
    for what, share in (("rack", 24), ("data centre", 6)):
        nodes = 240
        many = Many(nodes, 720)
        many.run(3.0)
        lost = [r.name for i, r in enumerate(many.rows) if i % share == 0]
        if what == "data centre":
            lost = [r.name for r in many.rows if r.data_centre == "dc0"]
        many.down = set(lost)
        many.reset_costs()
        start = many.now
        live = nodes - len(lost)
        left = [n for n in many.nodes if n not in many.down]
        while many.now - start < 120 and not all(
            len(many.nodes[n].state.table.live_instances) == live for n in left
        ):
            many.run(1.0)
        took = many.now - start
        print(
            f"{what} of {len(lost)} in {nodes} nodes lost: known everywhere "
            f"after {took:.0f} rounds, "
            f"{many.mean().bytes / took:.0f} B/s a node",
            flush=True,
        )


SERIES: dict[str, Callable[[], None]] = {
    "nodes": idle_by_nodes,
    "rows": idle_by_rows,
    "changes": changes,
    "spread": spread,
    "joining": joining,
    "memory": memory_of_rows,
    "documents": documents,
    "control": control,
    "cut": region_cut,
    "loss": data_centre_loss,
}


def main() -> None:
    """Runs all series, or those named as arguments."""
    for name in sys.argv[1:] or SERIES:
        SERIES[name]()


if __name__ == "__main__":
    main()
