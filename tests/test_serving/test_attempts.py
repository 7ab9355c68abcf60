"""Each attempt of an entry ends with one message, whatever fails."""

from __future__ import annotations

import pytest

from greengagemoor.aio.client import HttpFailure
from greengagemoor.forward.messages import (
    AttemptEnded,
    CancelAttempt,
    Outcome,
    StartAttempt,
)
from greengagemoor.serving.attempts import Attempts
from greengagemoor.shell.clock import Clock

MSG = StartAttempt(3, 1, "r1", "s1", "127.0.0.1:1", 1e9)


class FakeDialect:
    """Raises the error given for a step."""

    def __init__(self, **errors):
        self._errors = errors

    def _step(self, name):
        if name in self._errors:
            raise self._errors[name]

    def write_attempt(self, req, searcher_id, left_s):
        self._step("write")
        return b"data"

    def is_answer_to(self, request_id, headers):
        return True

    def read_answer(self, result):
        self._step("read")


class FakePool:
    """Records the sends; ``done`` ends the last one."""

    def __init__(self, error=None):
        self.error = error
        self.cancelled = 0

    def send(self, address, data, done, matches):
        if self.error is not None:
            raise self.error
        self.done = done
        return self

    def cancel(self):
        self.cancelled += 1


def start(dialect, pool):
    """Starts an attempt; returns its object and the messages put so far."""
    put = []
    attempts = Attempts(pool, dialect, Clock(), put.append, {1: object()})
    attempts.start(MSG)
    return attempts, put


class TestEnds:
    """An attempt without an end holds its place at a searcher for ever."""

    def test_request_that_can_not_be_written(self):
        """Guards against a request that never leaves and never ends."""
        _, put = start(FakeDialect(write=KeyError("x")), FakePool())
        assert put == [
            AttemptEnded(3, Outcome.NOT_SENT, reason="KeyError: 'x'")
        ]

    def test_pool_that_fails(self):
        """Guards against a failed send that counts as one in flight."""
        _, put = start(FakeDialect(), FakePool(RuntimeError("x")))
        assert put == [
            AttemptEnded(3, Outcome.BROKEN, reason="RuntimeError: x")
        ]

    def test_answer_that_can_not_be_read(self):
        """Guards against an odd answer that leaves its caller waiting."""
        pool = FakePool()
        _, put = start(FakeDialect(read=ValueError("x")), pool)
        pool.done(object())
        (ended,) = put
        assert (ended.attempt_id, ended.outcome) == (3, Outcome.BROKEN)
        assert ended.response_began

    @pytest.mark.parametrize("sent", [True, False])
    def test_failed_connection(self, sent):
        """Guards against a send that is taken for one that may have run."""
        pool = FakePool()
        _, put = start(FakeDialect(), pool)
        pool.done(HttpFailure(sent=sent, stale=False, reason="x"))
        outcome = Outcome.BROKEN if sent else Outcome.NOT_SENT
        assert put == [AttemptEnded(3, outcome, reason="x")]

    def test_cancelled_attempt_is_cancelled_once(self):
        """Guards against a connection that is closed for a later request."""
        pool = FakePool()
        attempts, put = start(FakeDialect(), pool)
        attempts.cancel(CancelAttempt(3))
        attempts.cancel(CancelAttempt(3))
        assert (pool.cancelled, put) == (1, [])
