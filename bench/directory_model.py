"""Compares ways of listing entries to callers, on the same seeds.

    python -m bench.directory_model --seeds 5

A row is one way in one scenario: the largest load of an entry, as a multiple of
its share of capacity (largest of all seconds after the start, and 10 s after a
data centre was lost), the share of connections within the caller's data centre,
and, when its data centre is lost, the share of connections that find a live
entry at the first pick and the share of callers without any live entry.
"""

from __future__ import annotations

import random
import statistics
from collections import defaultdict
from typing import TYPE_CHECKING, Annotated

import attrs
import typer

from greengagemoor.feed import directory
from greengagemoor.feed.directory import EntryDirectory, connection_shares
from greengagemoor.feed.messages import Subscribe

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

LIFETIME_S = 5.0
LONG_LIFETIME_S = 15.0
LONG_SHARE = 0.2
STEP_S = 0.25
LIMIT = 64
INSTANCES = 9
OBSERVED_LOOKUPS = 100
DATA_CENTRES = ("dc1", "dc2", "dc3")


def make_entries(
    number: int, sizes: Sequence[float] = (1.0,), centres: int = 3
) -> list[Subscribe]:
    """Returns ready entries, of all sizes in each data centre."""
    return [
        Subscribe(
            f"e{i}",
            f"10.0.{i // 250}.{i % 250}:80",
            DATA_CENTRES[i % centres],
            ready=True,
            capacity=sizes[i // centres % len(sizes)],
        )
        for i in range(number)
    ]


@attrs.define(eq=False)
class Caller:
    """A caller that keeps a list; all callers open connections equally often.

    Attributes:
        due_at: time of its next look-up.
        listed: its present list.
    """

    data_centre: str
    lifetime_s: float
    due_at: float
    listed: list[Subscribe] = attrs.field(factory=list)


class Callers:
    """Callers that look up entries at a random directory each time."""

    def __init__(
        self,
        rng: random.Random,
        numbers: dict[str, int],
        directories: Sequence[EntryDirectory],
    ):
        """Starts at time 0; first look-ups are spread over the lifetimes.

        Args:
            rng: seeded source.
            numbers: number of callers by data centre.
            directories: one for each control instance.
        """
        self.now = 0.0
        self._rng = rng
        self._directories = directories
        self.callers = [
            self._make_caller(data_centre)
            for data_centre, number in numbers.items()
            for _ in range(number)
        ]

    def _make_caller(self, data_centre: str) -> Caller:
        is_long = self._rng.random() < LONG_SHARE
        lifetime_s = LONG_LIFETIME_S if is_long else LIFETIME_S
        return Caller(data_centre, lifetime_s, self._rng.uniform(0, lifetime_s))

    def run(self, seconds: float, entries: list[Subscribe]) -> None:
        """Lets callers renew their lists when they are due."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            for caller in self.callers:
                if self.now >= caller.due_at:
                    chosen = self._rng.choice(self._directories)
                    caller.listed = chosen.select(
                        entries, caller.data_centre, LIMIT
                    )
                    caller.due_at = self.now + caller.lifetime_s

    def loads(self, entries: list[Subscribe]) -> dict[str, float]:
        """Returns each live entry's load as a multiple of its share, by name.

        A caller that picks a lost entry picks another one from its list.
        """
        loads: defaultdict[str, float] = defaultdict(float)
        names = {entry.name for entry in entries}
        for caller in self.callers:
            live = [e.name for e in caller.listed if e.name in names]
            for name in live:
                loads[name] += 1 / len(live)
        total = sum(loads.values())
        shares = connection_shares(entries)
        return {name: loads[name] / total / s for name, s in shares.items()}

    def own_share(self) -> float:
        """Returns the share of connections within the data centre."""
        return statistics.fmean(
            statistics.fmean(
                e.data_centre == caller.data_centre for e in caller.listed
            )
            for caller in self.callers
            if caller.listed
        )

    def live_shares(
        self, data_centre: str, entries: list[Subscribe]
    ) -> list[float]:
        """Returns the share of live entries in each list of a data centre."""
        names = {entry.name for entry in entries}
        return [
            statistics.fmean(e.name in names for e in caller.listed)
            for caller in self.callers
            if caller.data_centre == data_centre and caller.listed
        ]


class Rotation(EntryDirectory):
    """All entries in turn, whatever their capacity and data centre."""

    def select(self, entries, data_centre, limit):
        """Returns the next entries in a fixed order."""
        self._answers += 1
        first = self._answers % len(entries)
        return (entries[first:] + entries[:first])[:limit]


class OwnOnly(EntryDirectory):
    """Only entries of the caller's data centre."""

    def _choose_near(self, own, data_centre, length):
        return self._richest(own, min(length, len(own)))


class FixedMix(EntryDirectory):
    """A fixed share of own entries, whatever the load on them."""

    def _has_credit(self, entry, length, slacks=1):
        return True


class CountedMix(EntryDirectory):
    """A share of own entries computed from counted look-ups."""

    def __init__(self, name: str = ""):
        """Starts without look-ups."""
        super().__init__(name)
        self._lookups: list[str] = []

    def _has_credit(self, entry, length, slacks=1):
        return True

    def _choose_near(self, own, data_centre, length):
        self._lookups = [*self._lookups[1 - OBSERVED_LOOKUPS :], data_centre]
        asked = self._lookups.count(data_centre) / len(self._lookups)
        share = sum(self._shares[entry.name] for entry in own)
        wanted = length * min(directory.OWN_SHARE, share / asked)
        # Rounds at random, so that the mean is met.
        number = min(int(wanted + self._rng.random()), len(own))
        others = [e for e in self._entries if e.data_centre != data_centre]
        return self._richest(own, number) + self._richest(
            others, length - number
        )


class LongLists(EntryDirectory):
    """As many entries as an answer takes."""

    def _list_length(self, own, limit):
        return min(limit, len(self._entries))


WAYS: dict[str, Callable[[str], EntryDirectory]] = {
    "rotation, as before": Rotation,
    "own data centre only": OwnOnly,
    "fixed mix": FixedMix,
    "mix by counted look-ups": CountedMix,
    "credits, lists of up to 64": LongLists,
    "credits, short lists (chosen)": EntryDirectory,
}
SCENARIOS = {
    "32 entries of sizes 1, 2, 4; callers 210, 60, 30": (
        make_entries(32, (1, 2, 4)),
        (210, 60, 30),
    ),
    "83 equal entries; callers 100 each": (make_entries(83), (100, 100, 100)),
    "83 equal entries; callers 210, 60, 30": (make_entries(83), (210, 60, 30)),
    "200 equal entries; callers 100 each": (
        make_entries(200),
        (100, 100, 100),
    ),
}


def measure(
    way: Callable[[str], EntryDirectory],
    entries: list[Subscribe],
    numbers: Sequence[int],
    seed: int,
) -> tuple[float, ...]:
    """Returns the figures of one run; see the module's description."""
    by_name = dict(zip(DATA_CENTRES, numbers, strict=True))
    directories = [way(f"c{i}") for i in range(INSTANCES)]
    callers = Callers(random.Random(seed), by_name, directories)
    callers.run(3 * LIFETIME_S, entries)
    worst = 0.0
    for _ in range(30):
        callers.run(1.0, entries)
        worst = max(worst, *callers.loads(entries).values())
    own = callers.own_share()
    lost = DATA_CENTRES[0]
    live = [entry for entry in entries if entry.data_centre != lost]
    shares = callers.live_shares(lost, live)
    callers.run(2 * LIFETIME_S, live)
    after = max(callers.loads(live).values())
    stranded = statistics.fmean(share == 0 for share in shares)
    return worst, after, own, statistics.fmean(shares), stranded


def main(seeds: Annotated[int, typer.Option(min=1)] = 5) -> None:
    """Prints one row for each scenario and way."""
    for scenario, (entries, numbers) in SCENARIOS.items():
        print(scenario)
        for name, way in WAYS.items():
            runs = [measure(way, entries, numbers, s) for s in range(seeds)]
            worst, after, *others = zip(*runs, strict=True)
            own, first, stranded = map(statistics.fmean, others)
            print(
                f"  {name:30} max load {max(worst):.2f},"
                f" after loss {max(after):.2f}, own {own:.2f},"
                f" first pick live {first:.2f}, stranded {stranded:.2f}"
            )


if __name__ == "__main__":
    typer.run(main)
