"""Operations in progress while the machine is suspended."""

from __future__ import annotations

import random
import time

import pytest

from greengagemoor.codes import Code
from greengagemoor.control.client import Done, OperationRequest
from greengagemoor.control.commands import SetEvacuation
from greengagemoor.control.messages import OpKind, OpReply, Received, Send
from greengagemoor.serving.operations import Operations
from greengagemoor.shell.clock import BootClock

ORDER = SetEvacuation("dc1", False, 1, 0.0)


class TestSuspension:
    """The clock of the other deciders stands still meanwhile."""

    def play(self, suspended_s):
        """Returns what follows a conflict that arrives after a suspension."""
        self.time = 10.0
        operations = Operations("c1", random.Random(1), lambda: self.time)
        request = OperationRequest(7, OpKind.EVACUATE, 10.9, ORDER)
        (send,) = operations.step([request])
        self.time += suspended_s
        reply = OpReply(send.payload.op_id, Code.CONFLICT, version=3)
        return operations.step([Received("c1", reply)])

    def test_conflicting_order_is_not_resubmitted(self):
        """Guards against a stale order that undoes a newer one."""
        (msg,) = self.play(4.0)
        assert isinstance(msg, Done)
        assert msg.reply.code == Code.NOT_ACCEPTED

    def test_conflicting_order_is_resubmitted_in_time(self):
        (msg,) = self.play(0.1)
        assert isinstance(msg, Send)
        assert msg.payload.command.replaces == 3

    def test_next_tick(self):
        """Guards against a wake-up by the wrong clock."""
        operations = Operations("c1", random.Random(1), lambda: 1000.0)
        assert operations.next_wake(50.0) is None
        operations.step([OperationRequest(7, OpKind.EVACUATE, 1000.2, ORDER)])
        assert operations.next_wake(50.0) == pytest.approx(50.2)


class TestClock:
    """Time that passes while the machine is suspended counts."""

    def test_counts_suspensions(self, monkeypatch):
        """Guards against a caller that is taken to wait for ever."""
        clock = BootClock()
        before = clock.now()
        read = time.clock_gettime
        monkeypatch.setattr(time, "clock_gettime", lambda i: read(i) + 4.0)
        assert clock.now() >= before + 4.0
