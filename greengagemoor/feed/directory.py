"""Selection of the entries that the directory lists to a caller.

A caller picks an entry uniformly at random from its list for each new
connection and keeps the list for some seconds. An answer that lists ``n``
entries therefore gives each of them 1/n of a caller's connections, and a larger
entry gets more only if it is listed in more answers.

Each entry has a credit. An answer adds to each entry its share of all capacity
and takes 1/n from each entry that it lists. Among the entries that qualify,
those with the highest credit are listed, so over successive answers each entry
gets its share, whatever the callers' data centres are. Callers' data centres
need not be counted: an entry whose callers ask more often than its capacity
allows runs out of credit and is left out until it has earned its next listing.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from greengagemoor.feed.messages import Subscribe

OWN_SHARE = 0.6
"""Share of a list for the caller's own data centre, if capacity allows. When
that is lost, two picks in a row fail with probability 0.36."""
MIN_LISTED = 4
"""Shortest list if there are as many entries. It bounds the share of one entry
to a quarter: a list must offer alternatives when one entry fails."""
MIN_SIZE = 1e-3
"""Least capacity of an entry relative to the largest. Wrong settings of one
entry must not leave the others without callers."""
MIN_REMOTE = 2
"""Entries of other data centres in each list, even if ``FORCED_SLACKS`` times
the slack in debt. Beyond that the others have too little capacity to carry on
for the caller's data centre, and listing them would only overload them."""
FORCED_SLACKS = 2
MAX_SLACKS = 3
"""Bound of credits and debts, in slacks."""
SLACK_ANSWERS = 4.0
"""Answers in advance of which an entry may use its share. Callers of one data
centre ask in small bursts; without slack their own entries are left out of some
lists although they have capacity on average."""
APPLY_ANSWERS = 16
"""Number of answers whose shares are added to the credits together, which
saves a pass over all entries in the others."""
RECENT_ANSWERS = 256
"""Number of answers that the gauges cover."""


def connection_shares(entries: Sequence[Subscribe]) -> dict[str, float]:
    """Returns the share of all connections that each entry should get, by name.

    The shares are in proportion to capacity, or equal if the capacity of an
    entry is unknown, and limited to what a list can express.
    """
    sizes = {entry.name: entry.capacity for entry in entries}
    if not all(0 < size < math.inf for size in sizes.values()):
        sizes = dict.fromkeys(sizes, 1.0)
    largest = max(sizes.values())
    sizes = {n: max(s / largest, MIN_SIZE) for n, s in sizes.items()}
    limit = 1 / min(MIN_LISTED, len(sizes))
    capped: set[str] = set()
    while True:
        left = 1 - limit * len(capped)
        total = sum(s for name, s in sizes.items() if name not in capped)
        shares = {
            name: limit if name in capped else left * size / total
            for name, size in sizes.items()
        }
        # Rounding must not cap equal shares one after the other.
        over = {n for n, share in shares.items() if share > limit * (1 + 1e-9)}
        if not over:
            return shares
        capped |= over


class EntryDirectory:
    """Selects entries in proportion to capacity, near the caller if possible.

    Each control instance has its own; they need not communicate, because each
    balances its own answers.
    """

    def __init__(self, name: str = ""):
        """Starts without entries.

        Args:
            name: name of this control instance. It seeds the first credits, so
                that several instances do not list the same entries at the same
                time after a start.
        """
        self._rng = random.Random(name)
        self._entries: list[Subscribe] = []
        self._shares: dict[str, float] = {}
        self._largest = 1.0
        self._credits: dict[str, float] = {}
        self._unapplied = 0
        self._by_data_centre: dict[str, list[Subscribe]] = {}
        self._answers = 0
        self._listed = 0
        self._window: defaultdict[str, float] = defaultdict(float)
        self._window_answers = 0
        self._min_load = self._max_load = 1.0
        self._window_own = 0.0
        self._own_share = 0.0

    def select(
        self, entries: list[Subscribe], data_centre: str, limit: int
    ) -> list[Subscribe]:
        """Returns the entries to list, those of the data centre first.

        Args:
            entries: all entries that callers may use, each name once.
            data_centre: the caller's; may be unknown.
            limit: maximum number to list, at least 1.
        """
        if not entries:
            return []
        if entries != self._entries:
            self._update(entries)
        own = self._by_data_centre.get(data_centre, ())
        if not own or len(own) == len(entries):
            length = self._list_length(entries, limit)
            chosen = self._choose_anywhere(length)
        else:
            length = self._list_length(own, limit)
            chosen = self._choose_near(own, data_centre, length)
        self._account(chosen, data_centre)
        return chosen

    def gauges(self) -> dict[str, float]:
        """Returns gauges over windows of ``RECENT_ANSWERS`` answers.

        ``directory_max_load`` is the largest of all entries' ratios of listed
        share to share of capacity; 1.0 if all are listed in proportion. The
        loads are those of the last whole window without a change of entries.
        """
        return {
            "directory_answers_total": self._answers,
            "directory_listed": self._listed,
            "directory_min_load": self._min_load,
            "directory_max_load": self._max_load,
            "directory_own_share": self._own_share,
        }

    def _restart_window(self) -> None:
        """Computes the loads of the gauges and starts the next window."""
        ratios = [
            self._window[name] / (share * self._window_answers)
            for name, share in self._shares.items()
        ]
        self._min_load, self._max_load = min(ratios), max(ratios)
        self._own_share = self._window_own / self._window_answers
        self._clear_window()

    def _clear_window(self) -> None:
        self._window.clear()
        self._window_answers = 0
        self._window_own = 0.0

    def _update(self, entries: list[Subscribe]) -> None:
        """Applies a changed set of entries; the others keep their credit."""
        if self._unapplied:
            self._apply_earnings(1 / max(1, self._listed))
        self._entries = list(entries)
        self._shares = connection_shares(entries)
        self._largest = max(self._shares.values())
        spread = 1 / min(len(entries), 64)
        self._credits = {
            name: self._credits.get(name, self._rng.uniform(-spread, 0.0))
            for name in self._shares
        }
        surplus = sum(self._credits.values())
        for name, share in self._shares.items():
            self._credits[name] -= share * surplus
        by_data_centre = defaultdict(list)
        for entry in entries:
            by_data_centre[entry.data_centre].append(entry)
        self._by_data_centre = dict(by_data_centre)
        self._clear_window()

    def _list_length(self, own: Sequence[Subscribe], limit: int) -> int:
        """Returns how many entries to list to callers with these entries.

        An entry in every list of length n gets 1/n of the connections. A list
        must be short enough for the largest entry to get its share; where it
        prefers own entries, without being in all lists of other data centres.
        """
        length = 1 / self._largest
        if len(own) < len(self._entries):
            shares = [self._shares[entry.name] for entry in own]
            # Others cannot take more than their share of all capacity.
            own_share = max(OWN_SHARE, sum(shares))
            own_length = sum(shares) / max(shares) / own_share
            length = min(length * own_share, own_length)
        longest = min(limit, len(self._entries))
        # Rounding errors must not shorten a list of all entries.
        return min(max(math.floor(length + 1e-9), MIN_LISTED), longest)

    def _choose_anywhere(self, length: int) -> list[Subscribe]:
        """Returns entries without regard to data centres."""
        if length == len(self._entries):
            first = self._answers % length
            return self._entries[first:] + self._entries[:first]
        return self._richest(self._entries, length)

    def _choose_near(
        self, own: list[Subscribe], data_centre: str, length: int
    ) -> list[Subscribe]:
        """Returns own entries and others, without those that lack credit."""
        wanted = max(1, round(OWN_SHARE * length))
        chosen = [
            entry
            for entry in self._richest(own, wanted)
            if self._has_credit(entry, length)
        ]
        others = [e for e in self._entries if e.data_centre != data_centre]
        for i, entry in enumerate(self._richest(others, length - len(chosen))):
            slacks = FORCED_SLACKS if i < MIN_REMOTE else 1
            if self._has_credit(entry, length, slacks):
                chosen.append(entry)
        if len(chosen) < length:
            self._extend(chosen, length)
        return sorted(chosen, key=lambda e: e.data_centre != data_centre)

    def _extend(self, chosen: list[Subscribe], length: int) -> None:
        """Adds entries of any data centre that have credit, up to a length."""
        listed = {entry.name for entry in chosen}
        rest = [e for e in self._entries if e.name not in listed]
        for entry in self._richest(rest, length - len(chosen)):
            if len(chosen) < MIN_LISTED or self._has_credit(entry, length):
                chosen.append(entry)

    def _richest(
        self, entries: Iterable[Subscribe], number: int
    ) -> list[Subscribe]:
        return heapq.nlargest(number, entries, key=self._credit)

    def _credit(self, entry: Subscribe) -> float:
        name = entry.name
        return self._credits[name] + self._shares[name] * self._unapplied

    def _has_credit(
        self, entry: Subscribe, length: int, slacks: int = 1
    ) -> bool:
        slack = SLACK_ANSWERS * self._shares[entry.name] + 1 / length
        return self._credit(entry) >= -slacks * slack

    def _account(self, chosen: list[Subscribe], data_centre: str) -> None:
        """Updates credits and gauges for an answer."""
        self._answers += 1
        self._listed = len(chosen)
        cost = 1 / len(chosen)
        for entry in chosen:
            self._credits[entry.name] -= cost
        self._unapplied += 1
        if self._unapplied >= APPLY_ANSWERS:
            self._apply_earnings(cost)
        own = sum(entry.data_centre == data_centre for entry in chosen)
        if self._window_answers >= RECENT_ANSWERS:
            self._restart_window()
        self._window_answers += 1
        self._window_own += own * cost
        for entry in chosen:
            self._window[entry.name] += cost

    def _apply_earnings(self, cost: float) -> None:
        """Adds each entry's shares of the answers since the last call.

        Credits are bounded: where lists cannot meet the shares, an old debt
        must not keep an entry out of lists after the cause has ended.
        """
        for name, share in self._shares.items():
            bound = MAX_SLACKS * (SLACK_ANSWERS * share + cost)
            credit = self._credits[name] + share * self._unapplied
            self._credits[name] = max(-bound, min(credit, bound))
        self._unapplied = 0
