"""Cancellations of attempts reach the searcher or close the connection."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from greengagemoor.shell.attempt_dispatch import (
    AttemptDispatcher,
    _InFlightAttempt,
)
from greengagemoor.shell.clock import Clock


class Socket:
    """Records whether it was shut down."""

    closed = False

    def shutdown(self, how):
        self.closed = True


class TestCancellation:
    """A cancellation that can't be sent closes the attempt's connection."""

    @pytest.mark.parametrize("error", [OSError, ValueError, RuntimeError])
    def test_connection_is_closed(self, monkeypatch, error):
        """Guards against a cancelled attempt that runs on unseen."""

        def fail(msg):
            raise error("odd")

        dispatcher = AttemptDispatcher("p", 1, Clock(), print)
        monkeypatch.setattr(dispatcher, "_pool", fail)
        sock = Socket()
        flight = _InFlightAttempt(
            SimpleNamespace(attempt_id=1), SimpleNamespace(sock=sock)
        )
        dispatcher._workers.submit(dispatcher._send_cancel, flight)
        dispatcher.stop()
        assert sock.closed
