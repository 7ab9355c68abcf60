"""Answer metrics by caller and request class, with a bounded series count."""

from __future__ import annotations

import threading
from collections import Counter
from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagemoor.query.messages import Reply

MAX_SERIES = 200
"""Pairs of caller and request class that have their own series."""
MAX_CODES = 100
OTHERS = "others"
MAX_LATENCY_US = 3_600_000_000
"""Longer latencies are recorded as this many microseconds."""
SIGNIFICANT_DIGITS = 2
"""Significant digits that the histograms keep."""
QUANTILES = (50.0, 90.0, 99.0, 99.9)
MAX_ATTEMPTS = 100_000
"""More attempts for one answer are recorded as this many."""
MICROSECONDS = 1_000_000


@attrs.frozen
class SeriesKey:
    """Identifies a series: the caller and the request class."""

    caller: str
    request_class: str


@attrs.frozen
class QuantileRow:
    """Quantiles of one measure of one series.

    Attributes:
        measure: latency_us, coverage_percent or attempts.
        values: one for each of ``QUANTILES``.
    """

    caller: str
    request_class: str
    measure: str
    count: int
    values: tuple[float, ...]


@attrs.define
class _Series:
    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )
    coverage: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, 100, SIGNIFICANT_DIGITS)
    )
    attempts: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_ATTEMPTS, SIGNIFICANT_DIGITS)
    )


class Metrics:
    """Counts answers; beyond ``MAX_SERIES``, callers share one series.

    Callers choose their own names: without the bound, a faulty caller that
    sends ever new names would exhaust the memory of every entry.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._series: dict[SeriesKey, _Series] = {}
        self._codes: Counter[tuple[str, int]] = Counter()
        self._totals: Counter[str] = Counter()

    def record_reply(self, reply: Reply) -> None:
        """Records one answer."""
        with self._lock:
            key = self._key(SeriesKey(reply.caller, reply.request_class))
            series = self._series.setdefault(key, _Series())
            answer = reply.answer
            latency = max(1, int(reply.elapsed_s * MICROSECONDS))
            series.latency.record_value(min(latency, MAX_LATENCY_US))
            if answer.coverage.shards:
                share = len(answer.coverage.reflected) / answer.coverage.shards
                series.coverage.record_value(int(100 * share))
            series.attempts.record_value(min(answer.attempts, MAX_ATTEMPTS))
            self._codes[(key.request_class, int(answer.code))] += 1

    def _key(self, key: SeriesKey) -> SeriesKey:
        if key in self._series or len(self._series) < MAX_SERIES:
            return key
        return SeriesKey(OTHERS, OTHERS)

    def count(self, name: str, number: int = 1) -> None:
        """Adds ``number`` to the total called ``name``."""
        with self._lock:
            self._totals[name] += number

    def rows(self) -> list[QuantileRow]:
        """Returns the quantiles of each measure of every series."""
        with self._lock:
            return [
                row
                for key, series in sorted(
                    self._series.items(), key=lambda item: str(item[0])
                )
                for row in _quantile_rows(key, series)
            ]

    def text(self, extra: dict[str, float]) -> str:
        """Returns all metrics in the Prometheus text format.

        Args:
            extra: additional gauges by name.
        """
        lines = [
            f'greengagemoor_{row.measure}{{caller="{_escape(row.caller)}",'
            f'request_class="{_escape(row.request_class)}",'
            f'quantile="{quantile / 100:g}"}} {value:g}'
            for row in self.rows()
            for quantile, value in zip(QUANTILES, row.values, strict=True)
        ]
        with self._lock:
            lines += [
                f'greengagemoor_answers_total{{request_class="{_escape(name)}"'
                f',code="{code}"}} {number}'
                for (name, code), number in sorted(self._codes.items())
            ]
            totals = {**self._totals, **extra}
        lines += [
            f"greengagemoor_{name} {value:g}"
            for name, value in sorted(totals.items())
        ]
        return "\n".join(lines) + "\n"


def _quantile_rows(key: SeriesKey, series: _Series) -> Iterator[QuantileRow]:
    measures = {
        "latency_us": series.latency,
        "coverage_percent": series.coverage,
        "attempts": series.attempts,
    }
    for measure, histogram in measures.items():
        yield QuantileRow(
            caller=key.caller,
            request_class=key.request_class,
            measure=measure,
            count=histogram.get_total_count(),
            values=tuple(
                float(histogram.get_value_at_percentile(q)) for q in QUANTILES
            ),
        )


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
