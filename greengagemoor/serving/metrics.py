"""Counters, gauges and latency histograms of one event-loop process."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from greengagemoor.serving.dialect import Reply
from greengagemoor.util.labels import escape_label

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from hdrh.histogram import HdrHistogram

    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.forward.messages import Respond

MAX_SERIES = 24
"""Routes with a histogram of their own, 20 KB each. Documents may have hundreds
of routes, nearly all idle; the bound limits memory."""
OTHER_ROUTES = "others"
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
US_PER_S = 1_000_000
PREFIX = "greengagemoor_"


class ServingMetrics:
    """Metrics of a process; routes beyond ``MAX_SERIES`` share one series."""

    def __init__(self, gauges: Callable[[], dict[str, float]]):
        """Starts at zero.

        Args:
            gauges: returns the current gauges, by name.
        """
        self._gauges = gauges
        self._latency: dict[str, HdrHistogram] = {}
        self._pending_times: list[tuple[str, int]] = []
        self._series_names: set[str] = set()
        self._endings: Counter[tuple[str, str]] = Counter()
        self._totals: Counter[str] = Counter()

    def note(self, msg: Respond) -> None:
        """Counts a final answer."""
        series = self._series(msg.route.name)
        elapsed = max(1, min(int(msg.elapsed_s * US_PER_S), MAX_LATENCY_US))
        self._pending_times.append((series, elapsed))
        self._endings[(series, msg.ending.value)] += 1
        services = len(msg.route.services) if msg.route.gather else 1
        self._totals["sends_total"] += msg.sends
        self._totals["repeated_sends_total"] += max(0, msg.sends - services)
        if msg.merged is not None:
            self._totals["missing_shards_total"] += msg.merged.missing

    def _series(self, route: str) -> str:
        if len(self._series_names) < MAX_SERIES:
            self._series_names.add(route)
        return route if route in self._series_names else OTHER_ROUTES

    def update_histograms(self) -> None:
        """Adds the times collected so far to the histograms.

        The library is imported for the first of them: not before callers are
        served, and not at all in a process that serves none.
        """
        if not self._pending_times:
            return
        from hdrh.histogram import HdrHistogram

        for series, elapsed in self._pending_times:
            if series not in self._latency:
                self._latency[series] = HdrHistogram(
                    1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
                )
            self._latency[series].record_value(elapsed)
        self._pending_times.clear()

    def text(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        self.update_histograms()
        return "\n".join(self._lines()) + "\n"

    def _lines(self) -> Iterator[str]:
        for route, histogram in sorted(self._latency.items()):
            label = f'route="{escape_label(route)}"'
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile)
                yield (
                    f"{PREFIX}latency_us{{{label},"
                    f'quantile="{quantile / 100:g}"}} {value}'
                )
        for (route, ending), number in sorted(self._endings.items()):
            labels = f'route="{escape_label(route)}",ending="{ending}"'
            yield f"{PREFIX}answers_total{{{labels}}} {number}"
        for name, value in sorted({**self._totals, **self._gauges()}.items()):
            yield f"{PREFIX}{name} {value:g}"

    def handle_request(self, req: HttpRequest) -> None:
        """Answers a request for the metrics."""
        reply = Reply(200, ((b"Content-Type", b"text/plain"),))
        req.conn.reply(req, reply.status, reply.headers, self.text().encode())

    def handle_disconnect(self, req: HttpRequest) -> None:
        """Does nothing: no request is pending."""
