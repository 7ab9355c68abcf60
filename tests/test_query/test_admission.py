"""Admission control: rejections are early, fair and not permanent."""

from __future__ import annotations

from greengagemoor.codes import Code
from tests.test_query.helpers import Driver

ONE = {"a": (0, 1)}


def fill(driver: Driver, count: int, caller: str = "atlas", **fields) -> list:
    """Sends requests that differ in their body; returns their tokens."""
    return [
        driver.ask(caller, body=f'"{caller}{i}"', **fields)
        for i in range(count)
    ]


class TestRefusal:
    """Which requests are rejected, and when requests are accepted again."""

    def test_refused_at_once_when_wait_passes_deadline(self):
        """Guards against a queue of requests that will miss their deadline.

        If every request is queued under overload, searchers are fully loaded
        and almost no answer is in time.
        """
        driver = Driver(searchers=ONE)
        for attempt in [driver.ask() for _ in range(3)]:
            driver.answer_all(0.05)
            assert driver.reply(attempt).code == Code.WHOLE
        tokens = fill(driver, 150)
        refused = [t for t in tokens if t in driver.replies]
        assert len(refused) > 50
        for token in refused:
            answer = driver.reply(token)
            assert answer.code == Code.NOT_RUN_DEADLINE
            assert answer.retry_after_s > 0
            assert driver.replies[token].elapsed_s == 0

    def test_accepts_again_after_a_slow_period(self):
        """Guards against rejecting every request after a slow period.

        Queries take longer than half of the deadline; then none runs, and the
        searchers recover. The expected time is measured on running queries
        only, so with all requests rejected it would never fall again.
        """
        driver = Driver(searchers=ONE)
        for _ in range(30):
            driver.ask(deadline_s=5.0)
            driver.answer_all(2.0)
        token = driver.ask(deadline_s=1.0)
        driver.answer_all(0.01)
        assert driver.reply(token).code == Code.WHOLE

    def test_spike_of_one_caller_does_not_delay_others(self):
        """Guards against a spike of one caller delaying all callers.

        One caller queues many requests, then another sends one. In a FIFO
        queue the second caller waits as long as the first.
        """
        driver = Driver(searchers=ONE)
        fill(driver, 40, "spiking", deadline_s=20)
        token = driver.ask("quiet", deadline_s=20)
        answered_before = 0
        while token not in driver.replies:
            driver.answer(driver.under_way()[0])
            answered_before += 1
        assert answered_before < 10

    def test_full_queue_displaces_query_of_busiest_caller(self):
        driver = Driver(searchers=ONE)
        spike = fill(driver, 230, "spiking", deadline_s=30)
        token = driver.ask("quiet", deadline_s=30)
        assert token not in driver.replies
        displaced = [t for t in spike if t in driver.replies]
        codes = {driver.reply(t).code for t in displaced}
        assert codes == {Code.NOT_RUN_OVERLOAD}

    def test_queued_query_that_becomes_late_is_rejected_before_its_deadline(
        self,
    ):
        driver = Driver(searchers=ONE, share=2)
        fill(driver, 4, deadline_s=10)
        hopeless = driver.ask(body='"late"', deadline_s=0.4)
        for _ in range(4):
            driver.answer(driver.under_way()[0], 0.12)
        answer = driver.reply(hopeless)
        assert answer.code == Code.NOT_RUN_DEADLINE
        assert answer.attempts == 0
        assert driver.replies[hopeless].elapsed_s < 0.4


class TestClosing:
    """A leaving entry instance rejects new requests and finishes the others."""

    def test_running_request_is_finished(self):
        driver = Driver(searchers=ONE)
        running = driver.ask()
        driver.decider.close()
        refused = driver.ask(body='"new"')
        driver.answer_all()
        assert driver.reply(running).code == Code.WHOLE
        assert driver.reply(refused).code == Code.NOT_RUN_LEAVING
        assert driver.decider.is_idle
