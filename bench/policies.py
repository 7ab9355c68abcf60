"""Compares query policies with a naive baseline (``make bench``).

The same seeds give the same output. Columns: latencies of answers in ms;
coverage; attempts per needed shard; share of requests refused; share without
an answer in time; share of work spent on cancelled attempts; most connections
of a searcher and its cap; goodput as a share of capacity, over the run and
over seconds 3 to 6 (the spike); share of whole answers for callers without a
spike, in those seconds; wrong answers.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

import attrs

from bench.model import SPIKE_S, Bench, Outcome, Policy, ServiceKind
from bench.scenarios import RUN_S, scenarios

SEEDS = (20261202, 20261203, 20261204)
WORKERS = 4
DRAIN_S = 3.0

ATLAS = {"far_s": 0.0015, "data_centres": 3}
DOWNS = {"far_s": 0.001, "data_centres": 4}
KINDS = (
    ServiceKind("atlas-dispatch", 3, 5, 40, 0.006, deadline_s=1.0, **ATLAS),
    ServiceKind("atlas-billing", 3, 5, 40, 0.006, deadline_s=1.0, **ATLAS),
    ServiceKind("atlas-archives", 7, 6, 110, 0.001, deadline_s=2.0, **ATLAS),
    ServiceKind("atlas-reporting", 3, 6, 110, 0.001, deadline_s=2.0, **ATLAS),
    ServiceKind("downs-driver", 3, 2, 25, 0.006, deadline_s=0.5, **DOWNS),
    ServiceKind("downs-planner", 3, 2, 25, 0.006, deadline_s=0.5, **DOWNS),
    ServiceKind("downs-accounts", 4, 4, 45, 0.001, deadline_s=2.0, **DOWNS),
    ServiceKind("downs-compliance", 4, 4, 45, 0.001, deadline_s=2.0, **DOWNS),
)
FULL_KINDS = ("atlas-dispatch", "downs-driver")

NAIVE = Policy(
    "naive",
    service={"adaptive_limit": False},
    request_class={
        "chooser": "random",
        "hedge_budget": 0.0,
        "retry_budget": 10.0,
        "max_attempts": 4,
        "max_refusals": 3,
        "max_queue": 100_000,
        "refuse_late": False,
        "join_equal": False,
    },
    shares_cap=False,
    steered=False,
)
DEFAULT = Policy("default")
TAIL_FIRST = Policy(
    "tail-first",
    request_class={"completion": "cut_at_tail", "least_coverage": 0.6},
)
ABLATIONS = (
    Policy("no-hedge", request_class={"hedge_budget": 0.0}),
    Policy("no-limit", service={"adaptive_limit": False}),
    Policy("no-queue-rule", request_class={"refuse_late": False}),
    Policy("no-join", request_class={"join_equal": False}),
    Policy("random", request_class={"chooser": "random"}),
    Policy("not-steered", steered=False),
)


@attrs.frozen
class Row:
    """Figures of a scenario, kind of service and policy over all seeds."""

    scenario: str
    kind: str
    policy: str
    p50: float
    p99: float
    p999: float
    coverage: float
    attempts: float
    refused: float
    late: float
    wasted: float
    connections: int
    cap: int
    goodput: float
    spike: float
    others: float
    wrong: int


def measure(scenario: str, kind: ServiceKind, policy: Policy) -> Row:
    """Runs a scenario on each seed and returns its figures."""
    benches = [_run(scenario, kind, policy, seed) for seed in SEEDS]
    outcome = _sum_outcomes([bench.outcome for bench in benches])
    start, end = SPIKE_S
    entries = [entry for bench in benches for entry in bench.entries]
    counters = [entry.state.counters for entry in entries]
    initial_shards = sum(c.first_shards for c in counters)
    repeated_shards = sum(c.retry_shards + c.hedge_shards for c in counters)
    searchers = [s for bench in benches for s in bench.searchers]
    work = sum(s.total_work_s for s in searchers)
    wasted = sum(s.wasted for s in searchers)
    capacity = kind.capacity * len(SEEDS)
    return Row(
        scenario=scenario,
        kind=kind.name,
        policy=policy.name,
        p50=_quantile(outcome.latencies, 0.5),
        p99=_quantile(outcome.latencies, 0.99),
        p999=_quantile(outcome.latencies, 0.999),
        coverage=outcome.coverage / max(1, outcome.answered),
        attempts=(initial_shards + repeated_shards) / max(1, initial_shards),
        refused=outcome.refused / outcome.sent,
        late=outcome.late / outcome.sent,
        wasted=wasted / max(work, 1e-9),
        connections=max(s.max_connections for s in searchers),
        cap=kind.connection_cap,
        goodput=outcome.whole / RUN_S / capacity,
        spike=outcome.whole_in_spike / (end - start) / capacity,
        others=outcome.others_whole / max(1, outcome.others_sent),
        wrong=outcome.wrong,
    )


def _run(scenario: str, kind: ServiceKind, policy: Policy, seed: int) -> Bench:
    bench = Bench(kind, policy, seed)
    scenarios.get(scenario)(bench)
    bench.run(RUN_S + DRAIN_S)
    return bench


def _sum_outcomes(outcomes: list[Outcome]) -> Outcome:
    """Returns the sum of the outcomes of several runs."""
    total = Outcome()
    for name in attrs.fields_dict(Outcome):
        parts = [getattr(outcome, name) for outcome in outcomes]
        start = [] if name == "latencies" else 0
        setattr(total, name, sum(parts, start))
    return total


def _quantile(samples: list[float], share: float) -> float:
    if not samples:
        return float("nan")
    ordered = sorted(samples)
    return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


HEADER = (
    f"{'scenario':17} {'kind':16} {'policy':13} {'p50':>7} {'p99':>7} "
    f"{'p99.9':>7} {'cover':>6} {'att':>5} {'refus':>6} {'late':>6} "
    f"{'waste':>6} {'conn':>8} {'good':>5} {'3-6s':>5} {'other':>5} wrong"
)


def format_row(row: Row) -> str:
    """Returns a row as a line of the table."""
    return (
        f"{row.scenario:17} {row.kind:16} {row.policy:13} {row.p50:7.1f} "
        f"{row.p99:7.1f} {row.p999:7.1f} {row.coverage:6.3f} "
        f"{row.attempts:5.2f} {row.refused:6.3f} {row.late:6.3f} "
        f"{row.wasted:6.3f} {row.connections:4d}/{row.cap:<3d} "
        f"{row.goodput:5.2f} {row.spike:5.2f} {row.others:5.2f} "
        f"{row.wrong:5d}"
    )


def planned_runs() -> list[tuple[str, ServiceKind, Policy]]:
    """Returns all runs of ``make bench``, in order."""
    full = [kind for kind in KINDS if kind.name in FULL_KINDS]
    others = [kind for kind in KINDS if kind.name not in FULL_KINDS]
    table = [
        (scenario, kind, policy)
        for scenario in scenarios.names()
        for kind in full
        for policy in (NAIVE, DEFAULT, TAIL_FIRST)
    ]
    table += [
        ("steady-70", kind, policy)
        for kind in others
        for policy in (NAIVE, DEFAULT)
    ]
    ablation_scenarios = ("one-slow", "spike-one-caller", "spike-one-query")
    table += [
        (scenario, full[0], policy)
        for scenario in ablation_scenarios
        for policy in ABLATIONS
    ]
    return table


def main() -> None:
    """Prints the table, or only the scenarios named as arguments."""
    wanted = sys.argv[1:]
    print(HEADER)
    chosen = [run for run in planned_runs() if not wanted or run[0] in wanted]
    with ProcessPoolExecutor(WORKERS) as pool:
        for row in pool.map(measure, *zip(*chosen, strict=True)):
            print(format_row(row), flush=True)


if __name__ == "__main__":
    main()
