"""The thread of the deciders goes on whatever they and listeners raise."""

from __future__ import annotations

import queue
import threading

import pytest

from greengagemoor import events
from greengagemoor.events import EventListeners
from greengagemoor.shell import tick_loop
from greengagemoor.shell.clock import Clock
from greengagemoor.shell.tick_loop import TickLoop

WAIT_S = 5.0


class FakeNode:
    """Passes each message on as output; raises what it is given.

    Attributes:
        wake_errors: raised by the next calls of ``next_wake``, last first.
        step_errors: raised by the next steps, last first.
        steps: number of steps.
        began: released at each step.
    """

    def __init__(self, wake_errors=(), step_errors=()):
        self.wake_errors = list(wake_errors)
        self.step_errors = list(step_errors)
        self.steps = 0
        self.began = threading.Semaphore(0)

    def next_wake(self):
        if self.wake_errors:
            raise self.wake_errors.pop()
        return 0.0

    def step(self, now, msgs):
        self.steps += 1
        self.began.release()
        if self.step_errors:
            raise self.step_errors.pop()
        return msgs


@pytest.fixture
def make_loop():
    """Returns a function that starts a loop, and its output messages."""
    loops = []

    def make(node, bus=None):
        out = queue.SimpleQueue()
        loop = TickLoop(node, Clock(), bus or EventListeners())
        loop._thread.daemon = True
        loop.add_handler(str, out.put)
        loops.append(loop)
        loop.start()
        return loop, out

    yield make
    for loop in loops:
        loop.stop()


class TestThread:
    """The thread that answers all requests does not end.

    Otherwise the process stays up, accepts requests and answers none.
    """

    def test_goes_on_when_the_next_wake_can_not_be_told(self, make_loop):
        """Guards against a thread that ends between two ticks."""
        node = FakeNode(wake_errors=[KeyError("a"), KeyError("b")])
        loop, out = make_loop(node)
        loop.put("x")
        assert out.get(timeout=WAIT_S) == "x"
        assert loop.failures == 2

    def test_goes_on_when_a_listener_of_failures_raises(self, make_loop):
        """Guards against a thread that an embedder's listener ends."""
        called = threading.Event()

        def listen(exc):
            called.set()
            raise RuntimeError("listener")

        bus = EventListeners()
        bus.connect(events.TICK_FAILED, listen)
        loop, out = make_loop(FakeNode(step_errors=[ValueError("a")]), bus)
        assert called.wait(WAIT_S)
        loop.put("x")
        assert out.get(timeout=WAIT_S) == "x"

    def test_failing_timer_does_not_keep_the_processor_busy(
        self, make_loop, monkeypatch
    ):
        """Guards against a busy loop of a step that fails when it is due."""
        monkeypatch.setattr(tick_loop, "FAILED_PAUSE_S", 1e3)
        node = FakeNode(step_errors=[ValueError(str(n)) for n in range(1000)])
        loop, _ = make_loop(node)
        for _ in range(3):
            assert node.began.acquire(timeout=WAIT_S)
            loop.put("x")
        loop.stop()
        assert node.steps <= 5
