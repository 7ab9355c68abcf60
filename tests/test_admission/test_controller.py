"""The controller's decisions for given reports."""

from __future__ import annotations

import random

from greengagemoor.admission.controller import AdmissionController
from greengagemoor.admission.fairness import AccountDemand, RankDemand
from greengagemoor.admission.load import LoadEstimate
from greengagemoor.admission.messages import Load, Offer
from greengagemoor.admission.share import MIN_SHARE, AdmittedShare

SERVICES = tuple(f"s{i}" for i in range(36))
IDLE = Load(1, 0, 4)
FULL = Load(4, 20, 4)


def offer(**changes):
    values = {
        "route": "all",
        "services": SERVICES,
        "rank": 1,
        "left_s": 0.16,
        "wait_s": 1.2,
        "least_answers": 35,
    }
    return Offer(**{**values, **changes})


def report(controller, load, start=0.0, end=2.0, send_s=0.2):
    """Reports that load by all searchers each 0.1 s, with offers between."""
    now = start
    while now < end:
        controller.decide(now, offer())
        for service in SERVICES:
            for i in range(3):
                name = f"{service}.{i}"
                controller.note_answer(now, service, name, send_s, load)
        now += 0.1
    return now


def count_refused(controller, now, number=200, **changes):
    found = [controller.decide(now, offer(**changes)) for _ in range(number)]
    return sum(rejection is not None for rejection in found)


class TestController:
    """Refuses only where fewer requests would make the admitted ones faster."""

    def test_nothing_is_refused_without_reports(self):
        controller = AdmissionController(random.Random(1))
        assert count_refused(controller, 0.0) == 0

    def test_nothing_is_refused_while_slots_are_free(self):
        # Slow answers of searchers with free slots are a fault, not load.
        controller = AdmissionController(random.Random(1))
        now = report(controller, IDLE, send_s=2.0)
        assert count_refused(controller, now) == 0

    def test_long_queues_refuse_most(self):
        controller = AdmissionController(random.Random(1))
        now = report(controller, FULL)
        assert 100 < count_refused(controller, now) < 200

    def test_all_are_admitted_again_when_queues_are_empty(self):
        controller = AdmissionController(random.Random(1))
        now = report(controller, FULL)
        now = report(controller, IDLE, start=now, end=now + 1.0)
        assert count_refused(controller, now) == 0

    def test_share_rises_without_any_answer(self):
        # Otherwise an entry that refuses nearly all would never learn that
        # the overload has ended.
        controller = AdmissionController(random.Random(1))
        now = report(controller, FULL)
        assert count_refused(controller, now + 10.0) == 0

    def test_one_long_queue_of_three_refuses_nothing(self):
        controller = AdmissionController(random.Random(1))
        now = 0.0
        while now < 2.0:
            controller.decide(now, offer())
            for service in SERVICES:
                for i, load in enumerate((FULL, IDLE, IDLE)):
                    name = f"{service}.{i}"
                    controller.note_answer(now, service, name, 0.1, load)
            now += 0.1
        assert count_refused(controller, now) == 0

    def test_services_that_shed_all_make_coverage_unreachable(self):
        controller = AdmissionController(random.Random(1))
        now = report(controller, IDLE) + 3.0
        for service in SERVICES[:2]:
            for _ in range(100):
                controller.note_shed(now, service, f"{service}.0", IDLE)
        found = [controller.decide(now, offer()) for _ in range(100)]
        refused = [r for r in found if r is not None]
        # A few are admitted, to learn when the services answer again.
        assert 80 < len(refused) < 100
        assert {r.reason for r in refused} == {"coverage"}
        # One shard may be missing if fewer answers are needed.
        assert count_refused(controller, now, least_answers=34) == 0

    def test_retry_time_is_honoured_and_spread(self):
        # Callers honour up to a third of their remaining wait; equal times
        # would bring all of them back at once.
        controller = AdmissionController(random.Random(1))
        now = report(controller, FULL)
        found = [controller.decide(now, offer()) for _ in range(100)]
        times = [r.retry_after_s for r in found if r is not None]
        assert max(times) <= 1.2 / 3
        assert max(times) - min(times) > 0.1

    def test_returning_callers_are_admitted_more_often(self):
        controller = AdmissionController(random.Random(1))
        now = report(controller, FULL, end=0.5)
        new = count_refused(controller, now, 500)
        returning = count_refused(controller, now, 500, waited_s=0.3)
        assert returning < new

    def test_less_urgent_ranks_are_refused_first(self):
        controller = AdmissionController(random.Random(1))
        now = report(controller, FULL, end=0.3)
        for _ in range(100):
            controller.decide(now, offer(rank=0))
        urgent = count_refused(controller, now, 100, rank=0)
        assert urgent < count_refused(controller, now, 100, rank=1)


class TestLoadEstimate:
    """Queues by service and the work time."""

    def test_worst_searcher_is_left_out(self):
        load = LoadEstimate()
        for i, queue in enumerate((9.0, 0.0, 0.0)):
            load.note_answer(0.0, "s0", f"s0.{i}", 0.1, queue)
        assert load.queue(0.0, "s0") < 3.0

    def test_wait_is_not_counted_as_work(self):
        load = LoadEstimate()
        load.note_answer(0.0, "s0", "s0.0", 0.4, 3.0)
        assert abs(load.work_s - 0.1) < 1e-9

    def test_needed_queue_leaves_out_services_that_may_be_missing(self):
        load = LoadEstimate()
        for name in SERVICES:
            queue = 50.0 if name == "s0" else 1.0
            load.note_answer(0.0, name, f"{name}.0", 0.1, queue)
        all_needed = load.needed_queue(0.0, SERVICES, 36)
        assert load.needed_queue(0.0, SERVICES, 35) < all_needed / 2


class TestShare:
    """Steps of the admitted share."""

    def test_stays_within_its_bounds(self):
        share = AdmittedShare()
        for i in range(50):
            share.note_report(i, 1.0)
            share.step(float(i), 1.0, 5.0)
        assert share.value == MIN_SHARE
        for i in range(50, 150):
            share.note_report(i, 0.1)
            share.step(float(i), -1.0, 0.0)
        assert share.value == 1.0

    def test_draining_queue_is_not_cut_again(self):
        # A reduction shows only after the queue has drained; more of them
        # would leave searchers idle.
        share = AdmittedShare()
        share.note_report(0.0, 1.0)
        share.step(0.0, 1.0, 8.0)
        value = share.value
        share.note_report(0.2, 1.0)
        share.step(0.2, 1.0, 4.0)
        assert share.value == value


class TestFairness:
    """Ranks and accounts."""

    def test_urgent_ranks_get_the_share_first(self):
        ranks = RankDemand()
        for _ in range(50):
            ranks.note(0.0, 0, 36)
            ranks.note(0.0, 1, 36)
        assert ranks.share(0.0, 0, 0.5) == 1.0
        assert ranks.share(0.0, 1, 0.5) < 0.05
        assert abs(ranks.share(0.0, 1, 0.75) - 0.5) < 0.01

    def test_excessive_account_gives_way(self):
        accounts = AccountDemand()
        now = 0.0
        for step in range(600):
            now = step * 0.5
            accounts.note(now, f"a{step % 10}")
        for step in range(400):
            now += 0.025
            accounts.note(now, "a0")
            if step % 20 == 0:
                accounts.note(now, f"a{1 + step // 20 % 9}")
        assert accounts.share(now, "a5", 0.3) > 0.9
        assert accounts.share(now, "a0", 0.3) < 0.4

    def test_no_account_is_below_a_quarter_of_all(self):
        accounts = AccountDemand()
        accounts.note(0.0, "b")
        for step in range(2000):
            accounts.note(300.0 + step * 0.01, "a")
        assert accounts.share(320.0, "a", 0.4) >= 0.1
