"""Measures how costs grow with instances, rows, changes and services.

``make slopes`` prints each series, its linear fit and the largest error of the
fit. docs/CAPACITY.md is calculated from these figures. "Nodes" in the output
are instances.
"""

from __future__ import annotations

import sys
import tracemalloc
from typing import TYPE_CHECKING

from bench.control_slopes import (
    measure_control_group,
    measure_documents,
    measure_restarts,
)
from bench.linear_fit import print_fit
from bench.membership_model import (
    GOSSIP_INTERVAL_S,
    MembershipModel,
    make_server_row,
)
from greengagemoor.membership.rows import ServerRow
from greengagemoor.membership.table import Table
from greengagemoor.wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable

MEASURED_S = 20


def measure_idle_by_instances() -> None:
    """Measures costs per second without changes, by number of instances."""
    sizes = (100, 200, 400, 800)
    costs = []
    for instances in sizes:
        model = MembershipModel(instances)
        model.run(3.0)
        model.reset_costs()
        model.run(MEASURED_S)
        costs.append(model.mean_cost())
    print_fit(
        "idle bytes/s by nodes",
        sizes,
        [c.bytes / MEASURED_S for c in costs],
        "B/s",
    )
    print_fit(
        "idle processor by nodes",
        sizes,
        [1e6 * c.seconds / MEASURED_S for c in costs],
        "us/s",
    )


def measure_idle_by_rows() -> None:
    """Measures costs per second without changes, by number of searchers."""
    sizes = (500, 2000, 4000, 8000)
    costs = []
    for rows in sizes:
        model = MembershipModel(60, rows)
        model.run(3.0)
        model.reset_costs()
        model.run(MEASURED_S)
        costs.append(model.mean_cost())
    print_fit(
        "idle bytes/s by rows",
        sizes,
        [c.bytes / MEASURED_S for c in costs],
        "B/s",
    )
    print_fit(
        "idle processor by rows",
        sizes,
        [1e6 * c.seconds / MEASURED_S for c in costs],
        "us/s",
    )


def measure_changes() -> None:
    """Measures costs per second by number of row changes per second."""
    rates = (0, 1, 2, 4)
    costs = []
    for rate in rates:
        model = MembershipModel(200, 1000)
        model.run(3.0)
        model.reset_costs()
        for second in range(MEASURED_S):
            for number in range(rate):
                model.change_server((second * rate + number) % 1000)
            model.run(1.0)
        costs.append(model.mean_cost())
    print_fit(
        "bytes/s by changes/s, 200 nodes",
        rates,
        [c.bytes / MEASURED_S for c in costs],
        "B/s",
    )
    print_fit(
        "processor by changes/s, 200 nodes",
        rates,
        [1e6 * c.seconds / MEASURED_S for c in costs],
        "us/s",
    )


def measure_propagation() -> None:
    """Measures rounds until all instances hold a changed row."""
    sizes = (100, 200, 400, 800)
    rounds_needed = []
    for instances in sizes:
        model = MembershipModel(instances, 100)
        model.run(3.0)
        row = model.change_server(3)
        rounds = 0
        while model.count_holding(row) < instances and rounds < 100:
            model.run(GOSSIP_INTERVAL_S / 2)
            rounds += 0.5
        rounds_needed.append(rounds)
    print_fit("rounds until all know, by nodes", sizes, rounds_needed, "rounds")


def measure_catch_up() -> None:
    """Measures bytes until a restarted instance holds all rows again."""
    sizes = (500, 1000, 2000, 4000)
    bytes_needed = []
    for rows in sizes:
        model = MembershipModel(30, rows)
        model.run(3.0)
        state = model.deciders["n0"].state
        state.table = Table()
        state.merge_row(state.me)
        state.table.merge(model.instance_rows[1], 0.0)
        state.caught_up = False
        model.reset_costs()
        full = rows + 30
        while len(state.table.rows) < full and model.now < 120:
            model.run(0.5)
        total = sum(c.bytes for c in model.costs.values())
        quiet = 30 * 500 * model.now
        bytes_needed.append(max(0.0, total - quiet) if model.now < 120 else 0.0)
        print(f"  {rows} rows learnt at {model.now:.1f} s")
    print_fit("bytes to learn all rows", sizes, bytes_needed, "B")


def measure_row_memory() -> None:
    """Measures memory of table rows that were decoded from the wire."""
    sizes = (1000, 2000, 4000)
    used = []
    for rows in sizes:
        data = [
            codec.encode(ServerRow(make_server_row(i, 100)))
            for i in range(rows)
        ]
        tracemalloc.start()
        table = Table()
        for item in data:
            table.merge(codec.decode(item, ServerRow), 0.0)
        used.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    print_fit("memory of table rows", sizes, used, "B")


def measure_region_cut() -> None:
    """Measures recovery after 60 s without a link between regions."""
    for instances in (60, 120, 240):
        model = MembershipModel(instances, instances * 3)
        model.run(3.0)
        model.cut_regions = True
        model.run(60.0)
        separated = sum(
            len(n.state.table.live_instances) < instances
            for n in model.deciders.values()
        )
        model.cut_regions = False
        model.reset_costs()
        start = model.now
        while not _all_equal(model, instances) and model.now - start < 300:
            model.run(1.0)
        elapsed_s = model.now - start
        print(
            f"region cut, {instances} nodes: {separated} nodes had parted; "
            f"equal {elapsed_s:.0f} rounds after healing; "
            f"{model.mean_cost().bytes / elapsed_s:.0f} B/s a node meanwhile",
            flush=True,
        )


def _all_equal(model: MembershipModel, instances: int) -> bool:
    tables = [decider.state.table for decider in model.deciders.values()]
    complete = all(len(table.live_instances) == instances for table in tables)
    return complete and len({table.root for table in tables}) == 1


def measure_data_centre_loss() -> None:
    """Measures the cost of losing a rack or a data centre for the others."""
    for unit, divisor in (("rack", 24), ("data centre", 6)):
        instances = 240
        model = MembershipModel(instances, 720)
        model.run(3.0)
        lost = [
            r.name
            for i, r in enumerate(model.instance_rows)
            if i % divisor == 0
        ]
        if unit == "data centre":
            lost = [
                r.name for r in model.instance_rows if r.data_centre == "dc0"
            ]
        model.stopped = set(lost)
        model.reset_costs()
        start = model.now
        live = instances - len(lost)
        remaining = [n for n in model.deciders if n not in model.stopped]
        while model.now - start < 120 and not all(
            len(model.deciders[n].state.table.live_instances) == live
            for n in remaining
        ):
            model.run(1.0)
        elapsed_s = model.now - start
        print(
            f"{unit} of {len(lost)} in {instances} nodes lost: "
            f"known everywhere after {elapsed_s:.0f} rounds, "
            f"{model.mean_cost().bytes / elapsed_s:.0f} B/s a node",
            flush=True,
        )


SERIES: dict[str, Callable[[], None]] = {
    "nodes": measure_idle_by_instances,
    "rows": measure_idle_by_rows,
    "changes": measure_changes,
    "spread": measure_propagation,
    "joining": measure_catch_up,
    "memory": measure_row_memory,
    "documents": measure_documents,
    "control": measure_control_group,
    "restarts": measure_restarts,
    "cut": measure_region_cut,
    "loss": measure_data_centre_loss,
}


def main() -> None:
    """Measures all series, or those named as arguments."""
    for name in sys.argv[1:] or SERIES:
        SERIES[name]()


if __name__ == "__main__":
    main()
