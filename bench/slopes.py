"""Measures how costs grow with nodes, rows, changes and services.

``make slopes`` prints each series, its straight-line fit and the largest error
of the fit. docs/CAPACITY.md is worked out from these figures.
"""

from __future__ import annotations

import sys
import tracemalloc
from typing import TYPE_CHECKING

from bench.control_slopes import control, documents, restarts
from bench.fits import report
from bench.many import INTERVAL_S, Many, make_server
from greengagemoor.membership.rows import ServerRow
from greengagemoor.membership.table import Table
from greengagemoor.wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 20


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
    sizes = (1000, 2000, 4000)
    used = []
    for rows in sizes:
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
    "restarts": restarts,
    "cut": region_cut,
    "loss": data_centre_loss,
}


def main() -> None:
    """Runs all series, or those named as arguments."""
    for name in sys.argv[1:] or SERIES:
        SERIES[name]()


if __name__ == "__main__":
    main()
