"""Measures the effects of requests that crash searchers.

Run ``python -m bench.crashes [SEEDS]``. The same seeds give the same figures.
"""

from __future__ import annotations

import sys
from collections import Counter
from functools import partial
from statistics import median
from typing import TYPE_CHECKING

import attrs

from bench.crashes.fleet import Fleet
from bench.crashes.routes import gather_route, single_route
from greengagemoor.forward.messages import Ending
from greengagemoor.routing.routes import Grade

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.routing.routes import Route

HARMFUL = b"ends searchers"
RUN_S = 34.0
LONG_RUN_S = 59.0
FINAL_S = 4.0
"""Final part of a run, for which the share of others served is also shown."""
OTHERS_PER_S = 40.0
KILL_AT_S = 14.0
STORM_S = 2.5
STORM_SHARE = 1 / 3
SERVED = (Ending.ANSWERED, Ending.PARTIAL)


@attrs.frozen
class Scenario:
    """One scenario.

    Attributes:
        harmful: returns the route of the request that crashes searchers; None
            if there is no such request.
        interval_s: shortest and longest time between two of these requests.
        seconds: length of a run.
        kill_all: whether all processes are killed once, after 14 s.
        crash_storms: whether a third of all searchers crashes each 2.5 s.
    """

    name: str
    harmful: Callable[[Fleet], Route] | None = None
    interval_s: tuple[float, float] = (0.8, 2.0)
    seconds: float = RUN_S
    kill_all: bool = False
    crash_storms: bool = False


def _gather_route(fleet: Fleet) -> Route:
    return gather_route(fleet.services)


def _single_route(grade: Grade, fleet: Fleet) -> Route:
    return single_route(fleet.services[0], grade)


SCENARIOS = (
    Scenario("gather", _gather_route),
    Scenario("gather, all processes killed", _gather_route, kill_all=True),
    Scenario("gather, each 7 s", _gather_route, (7.0, 7.0), LONG_RUN_S),
    Scenario("repeatable", partial(_single_route, Grade.REPEATABLE)),
    Scenario("once an attempt", partial(_single_route, Grade.ONCE_PER_ATTEMPT)),
    Scenario(
        "gather, a third ends each 2.5 s", _gather_route, crash_storms=True
    ),
    Scenario("none, a third ends each 2.5 s", crash_storms=True),
)


@attrs.define
class Results:
    """Totals of one or more runs.

    Attributes:
        asked: harmful requests sent.
        ended: searchers that harmful requests crashed.
        late: harmful requests that reached a searcher although entries should
            have refused them.
        answers: endings of harmful requests.
        others: other requests, by whether they were served.
        others_at_end: the same for those sent in the last seconds of a run.
        refused: other requests that were refused as suspect.
    """

    asked: int = 0
    ended: int = 0
    late: int = 0
    answers: Counter = attrs.field(factory=Counter)
    answer_times_s: list[float] = attrs.field(factory=list)
    others: Counter = attrs.field(factory=Counter)
    others_at_end: Counter = attrs.field(factory=Counter)
    refused: int = 0

    def format_row(self, runs: int) -> str:
        """Returns a row of the table, with means per run."""
        median_ms = (
            f"{1000 * median(self.answer_times_s):.0f}"
            if self.answer_times_s
            else "-"
        )
        answers = ", ".join(
            f"{ending} {number / runs:.1f}"
            for ending, number in self.answers.most_common()
        )
        return (
            f"{self.ended / runs:5.1f} in {self.asked / runs:4.1f}"
            f" {self.late / runs:5.1f} {median_ms:>5}"
            f" {_served_share(self.others):.3f}"
            f" {_served_share(self.others_at_end):.3f}"
            f" {self.refused:5}  {answers}"
        )


def _served_share(served: Counter) -> float:
    return served[True] / max(1, served.total())


def run_scenario(scenario: Scenario, seed: int, results: Results) -> None:
    """Runs a scenario and adds its results."""
    fleet = Fleet(seed=seed)
    start = fleet.now
    end = start + scenario.seconds
    routes = [_gather_route(fleet), single_route("s1"), single_route("s2")]
    next_harmful = start if scenario.harmful else float("inf")
    next_storm = start + STORM_S if scenario.crash_storms else float("inf")
    next_kill = start + KILL_AT_S if scenario.kill_all else float("inf")
    fleet.harmful.add(HARMFUL)
    while fleet.now < end:
        if fleet.now >= next_kill:
            fleet.kill_all()
            next_kill = float("inf")
        if fleet.now >= next_storm and fleet.now < end - 2 * FINAL_S:
            fleet.crash_share(STORM_SHARE)
            next_storm += STORM_S
        if any(entry.ready for entry in fleet.entries):
            if fleet.now >= next_harmful:
                fleet.ask(HARMFUL, scenario.harmful(fleet))
                next_harmful = fleet.now + fleet.rng.uniform(
                    *scenario.interval_s
                )
            _ask_other(fleet, routes)
        fleet.run(fleet.rng.expovariate(OTHERS_PER_S))
    fleet.run(2.0)
    _add_run(fleet, end, results)


def _ask_other(fleet: Fleet, routes: list[Route]) -> None:
    """Sends a popular or a rare request on a random route."""
    number = fleet.rng.randrange(len(routes))
    popular = fleet.rng.random() < 0.5
    which = fleet.rng.randrange(5 if popular else 1000)
    fleet.ask(b"%d %d %d" % (number, popular, which), routes[number])


def _add_run(fleet: Fleet, end: float, results: Results) -> None:
    results.ended += fleet.crash_counts[HARMFUL]
    results.late += fleet.late_repeats(HARMFUL)
    results.refused += fleet.count_refused_harmless()
    for token, (key, at) in fleet.asked.items():
        answer = fleet.answers.get(token)
        if key == HARMFUL:
            results.asked += 1
            if answer is not None:
                results.answers[answer.ending.value] += 1
                results.answer_times_s.append(answer.elapsed_s)
            continue
        served = answer is not None and answer.ending in SERVED
        results.others[served] += 1
        if at > end - FINAL_S:
            results.others_at_end[served] += 1


def main() -> None:
    """Prints the table; each row is the mean of all seeds."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    print("request: searchers ended in requests, late repeats, median time of")
    print("its answer in ms, others served, in the last 4 s, others refused")
    for scenario in SCENARIOS:
        results = Results()
        for seed in range(seeds):
            run_scenario(scenario, seed, results)
        print(f"{scenario.name:32} {results.format_row(seeds)}")


if __name__ == "__main__":
    main()
