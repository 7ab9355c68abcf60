"""Limits and delays of the forward decider."""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class Policy:
    """Limits and delays of the forward decider; times in seconds.

    Attributes:
        retry_ratio: retries and hedges allowed for each request of a service.
        retry_slack: further retries and hedges of all entries per window.
        retry_window_s: length of the budget's window.
        hedge_quantile: quantile of the route's response times after which a
            send is hedged.
        hedge_medians: upper bound of that delay, in medians of the route, as
            slow searchers raise the quantile to their own times.
        caller_network_s: time that a caller's request and answer spend on the
            network, where the system doesn't report the round-trip time: the
            connection's handshake and one way in each direction.
        caller_read_s: time from a request's arrival at a busy process until
            it is read.
        max_network_share: largest share of an objective reserved for the
            network: a link that loses packets would otherwise leave no time
            for searchers.
        linger_s: how long a send whose answer is no longer needed may go on
            before its connection is closed.
        max_wait_share: share of the objective that a request waits for a free
            connection.
        min_sharers: least number of entries among which a connection cap and
            the retry slack are divided.
        admission_control: whether requests are refused when capacity is
            insufficient.
    """

    retry_ratio: float = 0.17
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    hedge_quantile: float = 0.9
    hedge_medians: float = 2.0
    caller_network_s: float = 0.012
    caller_read_s: float = 0.004
    max_network_share: float = 0.25
    linger_s: float = 0.03
    max_wait_share: float = 0.2
    min_sharers: int = 10
    admission_control: bool = False
