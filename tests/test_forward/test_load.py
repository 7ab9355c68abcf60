"""Load profiles of ``bench.gather_model``, run against simulated searchers."""

from __future__ import annotations

import attrs
import pytest

from bench.gather_model import SHEETS
from bench.gathers import GatherSimulation
from greengagemoor.forward import answer_delay, selection, timing

SECONDS = 16.0
SMALL = attrs.evolve(
    next(sheet for sheet in SHEETS if sheet.name == "atlas-grown"),
    entries=26,
    shards=12,
    kinds=tuple(
        attrs.evolve(kind, rate_per_s=kind.rate_per_s / 3, min_coverage=0.9)
        for kind in SHEETS[1].kinds
    ),
    slack=65.0,
)
"""A third of the grown sheet; the load on one entry is the same."""


def share_of_credit(**policy):
    """Returns the mean share of credit over two seeds with slow searchers."""
    runs = [
        GatherSimulation(SMALL, 0.15, seed, **policy).run(SECONDS)
        for seed in (1, 2)
    ]
    return sum(one.credit / one.requests for one in runs) / len(runs)


class TestSlowSearchers:
    """One searcher in seven takes 8.5 times as long, from 10 s on."""

    def test_answers_include_nearly_all_shards(self, monkeypatch):
        """Guards against 0.80 of the credit at 78 entries and 36 shards.

        The slow searchers raise the 0.9 quantile of the times to their own, and
        hedges wait for it. Each entry sends to a searcher every four seconds
        only, and the measured slowness decays in between.
        """
        now = share_of_credit()
        monkeypatch.setattr(timing, "SMOOTHING_S", 1e9)
        monkeypatch.setattr(selection, "DECAY_S", 4.0)
        before = share_of_credit(hedge_medians=100.0)
        assert now > 0.94
        assert now > before + 0.02


class TestAllowance:
    """Retries and hedges under normal load."""

    def test_slack_is_used(self):
        """The slack is spent in each window, not once.

        Guards against answers without a shard while only a third of the
        allowance is used.
        """
        figures = GatherSimulation(SMALL, 0.0, seed=3).run(SECONDS)
        ratio_only = GatherSimulation(SMALL, 0.0, seed=3, retry_slack=0.0).run(
            SECONDS
        )
        assert figures.credit > 1.01 * ratio_only.credit

    @pytest.mark.parametrize("slow_share", [0.0, 0.15])
    def test_allowance_is_kept(self, slow_share):
        figures = GatherSimulation(SMALL, slow_share, seed=3).run(SECONDS)
        windows = (SECONDS - 5.0) / 10.0
        slack = 0.85 * SMALL.slack * SMALL.shards * (windows + 1)
        assert figures.attempts <= 1.17 * figures.needed_attempts + slack


class TestFewFastSearchers:
    """A third of the searchers is slow; the fast ones are fully used."""

    SHEET = next(sheet for sheet in SHEETS if sheet.name == "downs")

    def test_reported_load_does_not_divert_to_slow_ones(self, monkeypatch):
        """Guards against 0.83 of the credit where 0.85 is possible.

        A shard has one fast searcher, which reports that it is busy. If the
        report counts as a queue, although it is out of date by the next send,
        all entries send to slow searchers, whose answers are late.
        """
        seeds = (1, 2, 3)

        def credit():
            runs = [
                GatherSimulation(self.SHEET, 0.35, seed).run(20.0)
                for seed in seeds
            ]
            return sum(one.credit / one.requests for one in runs) / len(runs)

        now = credit()
        own_queue = selection._queue

        def queue_with_reported_load(row):
            queue = own_queue(row)
            return queue + 1.2 * row.others / max(1, row.slots)

        monkeypatch.setattr(selection, "_queue", queue_with_reported_load)
        assert now > credit()


class TestAnswersSentWhenDue:
    """An entry takes 15 ms from when an answer is due until it is written.

    At 191 entries half of the answers wait for a last shard until they are
    due, as one of 63 shards is nearly always late. If they are due 16 ms before
    the objective of 251 ms, which only covers the network time of the caller,
    then merge, write and late timers of a process with 0.12 of a core make
    eight of ten answers late, and each of these earns a tenth.
    """

    SHEET = attrs.evolve(SMALL, caller_network_s=0.012)
    BUSY = attrs.evolve(SHEET, answer_delay_s=0.015)

    def test_answers_are_written_in_time(self, monkeypatch):
        figures = GatherSimulation(self.BUSY, 0.15, seed=1).run(SECONDS)
        monkeypatch.setattr(answer_delay, "MAX_SHARE_OF_OBJECTIVE", 0.0)
        before = GatherSimulation(self.BUSY, 0.15, seed=1).run(SECONDS)
        whole = GatherSimulation(self.SHEET, 0.15, seed=1).run(SECONDS)
        assert figures.credit > before.credit
        assert figures.credit > 0.97 * whole.credit
