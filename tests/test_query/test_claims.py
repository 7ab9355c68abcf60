"""Requests that are not repeatable, tested on the query decider alone."""

from __future__ import annotations

from greengagemoor.codes import Code, is_not_run
from greengagemoor.query.messages import (
    ClaimDecided,
    ClaimVerdict,
    ClaimWanted,
    RecordOutcomeWanted,
)
from tests.fakes import of_kind
from tests.test_query.helpers import Driver

BOOKING = {
    "request_class": "book",
    "request_id": "1000-x",
    "repeatable": False,
    "key": "well-7",
    "deadline_s": 3.0,
}


def grant(driver: Driver, token: int, send_before: float) -> None:
    """Grants the claim of a request."""
    verdict = ClaimVerdict.GRANTED
    driver.send(ClaimDecided(token, "atlas", "1000-x", verdict, send_before))


class TestClaims:
    """Nothing is sent before a claim is granted or after it expired."""

    def test_nothing_is_sent_before_the_grant(self):
        driver = Driver(searchers={"a": (0, 1)})
        token = driver.ask(**BOOKING)
        assert of_kind(driver.out, ClaimWanted)
        assert not driver.attempts
        grant(driver, token, 10.0)
        (attempt,) = driver.under_way()
        assert len(attempt.shards) == 1
        assert not attempt.repeatable
        driver.answer(attempt)
        assert driver.reply(token).code == Code.WHOLE
        assert of_kind(driver.out, RecordOutcomeWanted)[0].code == Code.WHOLE

    def test_claim_that_expires_in_the_queue_is_not_sent(self):
        """Guards against sending a request after its claim expired.

        The claim is granted while the searcher is full. The process is
        suspended and resumes after the claim expired, when the searcher has
        room. Without a check before the send, the request runs long after its
        caller was answered "unknown".
        """
        driver = Driver(searchers={"a": (0, 1)}, share=1)
        driver.ask(deadline_s=2.9)
        token = driver.ask(**BOOKING)
        grant(driver, token, 1.0)
        driver.answer(driver.under_way()[0], 2.0)
        assert not driver.under_way()
        assert is_not_run(driver.reply(token).code)
        assert is_not_run(of_kind(driver.out, RecordOutcomeWanted)[0].code)

    def test_late_grant_is_released(self):
        driver = Driver(searchers={"a": (0, 1)})
        token = driver.ask(**BOOKING)
        driver.send(at=3.0)
        assert driver.reply(token).code == Code.NOT_RUN_NO_CONTROL
        grant(driver, token, 10.0)
        assert not driver.attempts
        assert is_not_run(of_kind(driver.out, RecordOutcomeWanted)[0].code)

    def test_late_answer_is_recorded_for_the_resend(self):
        driver = Driver(searchers={"a": (0, 1)})
        token = driver.ask(**BOOKING)
        grant(driver, token, 10.0)
        attempt = driver.under_way()[0]
        driver.send(at=3.0)
        assert driver.reply(token).code == Code.UNKNOWN
        driver.answer(attempt)
        assert of_kind(driver.out, RecordOutcomeWanted)[-1].code == Code.WHOLE
