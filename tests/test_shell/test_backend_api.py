"""Answers and refusals of backend servers to attempts."""

from __future__ import annotations

import json

import pytest

from greengagemoor.query.messages import Failure, StartAttempt
from greengagemoor.shell import backend_api

PROCESS = "e1.1"
ATTEMPT = StartAttempt(
    attempt_id=9,
    server="a",
    address="127.0.0.1:1",
    share=1,
    service="s",
    caller="c",
    request_id="r",
    snapshot=1,
    shards=(0,),
    deadline=2.0,
    send_before=1.0,
    repeatable=False,
    body="",
)
REFUSAL = {"ran": False, "reason": "shed"}


def read(status, body):
    """Returns the failure that the decider is told."""
    data = json.dumps(body).encode()
    return backend_api.read_answer(ATTEMPT, PROCESS, status, data).failure


class TestRefusals:
    """A refusal counts as *not run* only for the attempt that it names."""

    def test_late_refusal_of_an_earlier_attempt(self):
        """Guards against a false *not run*: the attempt may be running."""
        refusal = {**REFUSAL, "attempt_id": f"{PROCESS}/8"}
        assert read(503, refusal) is Failure.MISMATCH

    @pytest.mark.parametrize("named", [{}, {"attempt_id": f"{PROCESS}/9"}])
    def test_refusal_of_this_attempt(self, named):
        assert read(503, {**REFUSAL, **named}) is Failure.SHED
