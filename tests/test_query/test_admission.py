"""Admission: refusals that are in time, fair, and not for ever."""

from __future__ import annotations

from greengagemoor.codes import Code
from tests.test_query.helpers import Driver

ONE = {"a": (0, 1)}


def fill(driver: Driver, count: int, caller: str = "atlas", **fields) -> list:
    """Sends distinct requests; returns their tokens."""
    return [
        driver.ask(caller, body=f'"{caller}{i}"', **fields)
        for i in range(count)
    ]


class TestRefusal:
    """Who is refused at once, and who gets in again."""

    def test_refused_at_once_when_wait_passes_deadline(self):
        """A queue of answers that nobody waits for any more.

        Symptom: full searchers, and hardly an answer in time.
        Sequence: far more requests than the searchers work off.
        Cause: every request is queued, however long the queue is.
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

    def test_admits_again_after_a_slow_time(self):
        """Refusing for ever.

        Symptom: a service that was slow for a minute answers nobody, long
        after its searchers recovered.
        Sequence: queries take longer than half of the deadline; then nothing
        runs any more, and the searchers are fast again.
        Cause: the expected time is learnt from queries only, and with all
        refused none runs.
        """
        driver = Driver(searchers=ONE)
        for _ in range(30):
            driver.ask(deadline_s=5.0)
            driver.answer_all(2.0)
        token = driver.ask(deadline_s=1.0)
        driver.answer_all(0.01)
        assert driver.reply(token).code == Code.WHOLE

    def test_other_callers_keep_their_turn(self):
        """One caller's spike in everybody's way.

        Symptom: all callers wait as long as the one that sends most.
        Sequence: one caller queues many requests, then another sends one.
        Cause: one queue in order of arrival.
        """
        driver = Driver(searchers=ONE)
        fill(driver, 40, "spiking", deadline_s=20)
        token = driver.ask("quiet", deadline_s=20)
        answered_before = 0
        while token not in driver.replies:
            driver.answer(driver.under_way()[0])
            answered_before += 1
        assert answered_before < 10

    def test_full_queue_displaces_who_waits_most(self):
        driver = Driver(searchers=ONE)
        spike = fill(driver, 230, "spiking", deadline_s=30)
        token = driver.ask("quiet", deadline_s=30)
        assert token not in driver.replies
        displaced = [t for t in spike if t in driver.replies]
        codes = {driver.reply(t).code for t in displaced}
        assert codes == {Code.NOT_RUN_OVERLOAD}

    def test_waiter_that_becomes_hopeless_is_told_before_its_deadline(self):
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
    """An entry that leaves refuses new work and finishes the old."""

    def test_running_request_is_finished(self):
        driver = Driver(searchers=ONE)
        running = driver.ask()
        driver.decider.close()
        refused = driver.ask(body='"new"')
        driver.answer_all()
        assert driver.reply(running).code == Code.WHOLE
        assert driver.reply(refused).code == Code.NOT_RUN_LEAVING
        assert driver.decider.is_idle
