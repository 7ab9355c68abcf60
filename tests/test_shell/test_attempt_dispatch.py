"""Attempts at backend servers: cancellations, and answers cut off."""

from __future__ import annotations

import json
import socket
from types import SimpleNamespace

import attrs
import pytest

from greengagemoor.query.messages import Failure
from greengagemoor.shell.attempt_dispatch import (
    AttemptDispatcher,
    _InFlightAttempt,
)
from greengagemoor.shell.clock import Clock
from tests.test_shell.test_backend_api import ATTEMPT


def attempt(address):
    soon = Clock().now() + 20.0
    return attrs.evolve(
        ATTEMPT, address=address, deadline=soon, send_before=soon
    )


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


class TestTruncated:
    """A backend server closes the connection within its answer."""

    @pytest.mark.parametrize("status", [b"200 OK", b"503 Full"])
    def test_is_no_answer(self, status):
        """Guards against part of an answer, or of a refusal, that counts.

        The head may end at any byte; what ends it is not reported.
        """
        body = json.dumps({"attempt_id": "p/9", "ran": False}).encode()
        length = b"Content-Length: %d" % len(body)
        whole = b"HTTP/1.1 %s\r\nA: b\r\n%s\r\n\r\n%s" % (status, length, body)
        cuts = [whole[:size] for size in range(len(whole))]
        ends = []
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "{}:{}".format(*listener.getsockname())
            dispatcher = AttemptDispatcher("p", 1, Clock(), ends.append)
            for cut in cuts:
                dispatcher.start_attempt(attempt(address))
                conn, _ = listener.accept()
                with conn:
                    conn.recv(65_536)
                    conn.sendall(cut)
                    conn.shutdown(socket.SHUT_WR)
                    while conn.recv(65_536):
                        pass
            dispatcher.stop()
        uncertain = {Failure.BROKEN, Failure.MISMATCH}
        assert len(ends) == len(cuts)
        assert {end.failure for end in ends} <= uncertain
