"""Limits and delays of the forward decider."""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class Policy:
    """Limits and delays of the forward decider; times in seconds.

    Attributes:
        retry_ratio: second sends for each request of a service.
        retry_slack: second sends of all entries in each window besides.
        retry_window_s: the window.
        hedge_quantile: a send later than this share of the route's answers
            gets a second one,
        hedge_medians: or later than so many medians: slow searchers raise the
            quantile to their own times.
        caller_way_s: what a caller's clock spends on the network where the
            system doesn't tell the round trip: a connection and two ways.
        caller_read_s: the same until a busy process reads what is there.
        most_way_share: share of an objective that the way may take: behind a
            link that loses packets it would leave no time for searchers.
        linger_s: how long a send whose answer is no longer needed may go on
            before its connection is closed.
        busy_share: share of the objective that a request waits for a place.
        places: the number of entries that share a connection cap, at least.
    """

    retry_ratio: float = 0.17
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    hedge_quantile: float = 0.9
    hedge_medians: float = 2.0
    caller_way_s: float = 0.012
    caller_read_s: float = 0.004
    most_way_share: float = 0.25
    linger_s: float = 0.03
    busy_share: float = 0.2
    places: int = 10
