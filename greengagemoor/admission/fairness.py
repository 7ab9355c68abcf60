"""Divides the admitted share between ranks, and within a rank by account."""

from __future__ import annotations

import math

import attrs

from greengagemoor.admission.decayed import DecayedCount

RANK_SPAN_S = 3.0
"""Time constant in seconds of the demand by rank."""
RECENT_SPAN_S = 10.0
"""Time constant in seconds of an account's recent demand."""
USUAL_SPAN_S = 300.0
"""Time constant in seconds of an account's usual demand."""
PRIOR_REQUESTS = 2.0
"""Requests added to an account's recent and to its usual number. One request of
an account that sends one a minute to this entry is no excess."""
MIN_ACCOUNT_SHARE = 0.3
"""Least share of an account relative to that of all accounts."""
MIN_RANK_SHARE = 0.02
"""Least admitted share of a rank, so that its times remain known."""
MAX_ACCOUNTS = 4096
"""Accounts whose demand is kept; those that were idle longest are dropped."""


class RankDemand:
    """Gives the admitted share to the most urgent ranks first."""

    def __init__(self):
        self._demand: dict[int, DecayedCount] = {}

    def note(self, now: float, rank: int, work: float) -> None:
        """Counts a request that needs this many sends."""
        if rank not in self._demand:
            self._demand[rank] = DecayedCount(RANK_SPAN_S)
        self._demand[rank].add(now, work)

    @property
    def ranks(self) -> list[int]:
        """All ranks that had requests, the most urgent first."""
        return sorted(self._demand)

    def work_share(self, now: float, rank: int) -> float:
        """Returns the share of a rank in the work of all."""
        total = sum(demand.at_time(now) for demand in self._demand.values())
        return self._demand[rank].at_time(now) / total if total else 1.0

    def share(self, now: float, rank: int, admitted: float) -> float:
        """Returns the share of a rank's requests to admit.

        Args:
            now: seconds.
            rank: the rank.
            admitted: the share of the work of all ranks to admit.
        """
        if admitted >= 1.0:
            return 1.0
        demand = {r: d.at_time(now) for r, d in self._demand.items()}
        own = demand.get(rank, 0.0)
        if own <= 0.0:
            return admitted
        ahead = sum(work for r, work in demand.items() if r < rank)
        rest = admitted * sum(demand.values()) - ahead
        return min(1.0, max(MIN_RANK_SHARE, rest / own))


@attrs.define(eq=False)
class _Demand:
    recent: DecayedCount
    usual: DecayedCount
    since: float

    def ratio(self, now: float) -> float:
        """Returns the recent demand relative to the usual one."""
        age = max(1.0, now - self.since)
        observed_s = USUAL_SPAN_S * (1.0 - math.exp(-age / USUAL_SPAN_S))
        recent_s = RECENT_SPAN_S * (1.0 - math.exp(-age / RECENT_SPAN_S))
        usual = self.usual.at_time(now) / observed_s * recent_s
        recent = self.recent.at_time(now)
        return (recent + PRIOR_REQUESTS) / (usual + PRIOR_REQUESTS)


class AccountDemand:
    """Divides a share by the usual demand of each account.

    Attributes:
        mean_ratio: demand of all accounts relative to their usual one, by
            request.
    """

    def __init__(self):
        self._accounts: dict[str, _Demand] = {}
        self._since: float | None = None

    def note(self, now: float, account: str) -> None:
        """Counts a request of an account."""
        if self._since is None:
            self._since = now
        demand = self._accounts.pop(account, None)
        if demand is None:
            demand = _Demand(
                DecayedCount(RECENT_SPAN_S),
                DecayedCount(USUAL_SPAN_S),
                self._since,
            )
        self._accounts[account] = demand
        demand.recent.add(now, 1.0)
        demand.usual.add(now, 1.0)
        if len(self._accounts) > MAX_ACCOUNTS:
            del self._accounts[next(iter(self._accounts))]

    def share(self, now: float, account: str, admitted: float) -> float:
        """Returns the share of an account's requests to admit.

        Args:
            now: seconds.
            account: its name.
            admitted: the share of the requests of all accounts to admit.
        """
        if admitted >= 1.0 or len(self._accounts) < 2:
            return admitted
        rows = [
            (demand.recent.at_time(now), demand.ratio(now))
            for demand in self._accounts.values()
        ]
        level = _level(rows, admitted)
        own = self._accounts[account].ratio(now)
        least = MIN_ACCOUNT_SHARE * admitted
        return min(1.0, max(least, level / own))


def _level(rows: list[tuple[float, float]], admitted: float) -> float:
    """Returns the ratio to usual demand up to which requests are admitted.

    Args:
        rows: recent demand and its ratio to the usual one, by account.
        admitted: the share of the sum to admit.
    """
    rest = admitted * sum(recent for recent, _ in rows)
    # Demand at the usual level; the level times it is what is admitted.
    usual = sum(recent / ratio for recent, ratio in rows)
    level = 0.0
    for recent, ratio in sorted(rows, key=lambda row: row[1]):
        if usual <= 0.0:
            break
        level = rest / usual
        if level <= ratio:
            break
        rest -= recent
        usual -= recent / ratio
    return level
