"""Calls of the operators' tool to an instance."""

from __future__ import annotations

import socket
import threading
from contextlib import contextmanager

import pytest
import typer

from greengagemoor.cmd import http_calls
from greengagemoor.cmd.http_calls import Exit

ORDER = {"data_centre": "dc1", "active": True}
ACCEPTED = b'{"code": 500, "number": 3}'


def response(status, body, *headers):
    lines = [
        b"HTTP/1.1 %s" % status,
        *headers,
        b"Content-Length: %d" % len(body),
        b"Connection: close",
    ]
    return b"\r\n".join([*lines, b"", body])


def read_order(conn):
    """Returns a request whose body is a JSON object."""
    data = b""
    while not data.endswith(b"}"):
        data += conn.recv(65_536)
    return data


@contextmanager
def instance(replies):
    """Runs an instance that sends one reply on each connection.

    Args:
        replies: takes the instance's address and returns the replies.

    Yields:
        Its address, and the requests received so far.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    address = "{}:{}".format(*listener.getsockname())
    received = []

    def serve():
        for reply in replies(address):
            conn, _ = listener.accept()
            with conn:
                received.append(read_order(conn))
                conn.sendall(reply)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield address, received
    finally:
        listener.close()


class TestRedirects:
    """An instance redirects an order that may be old to itself."""

    def test_order_is_sent_again(self):
        """Guards against an order that is reported as refused."""

        def replies(address):
            location = b"Location: http://%s/evacuations" % address.encode()
            yield response(b"307 Temporary Redirect", b"", location)
            yield response(b"200 OK", ACCEPTED)

        with instance(replies) as (address, received):
            reply = http_calls.call_instance(
                address, "POST", "/evacuations", ORDER
            )
        assert reply.body["number"] == 3
        assert len(received) == 2
        assert received[0].split()[:2] == received[1].split()[:2]

    def test_without_end(self):
        """Guards against a tool that never ends."""

        def replies(address):
            location = b"Location: http://%s/evacuations" % address.encode()
            while True:
                yield response(b"307 Temporary Redirect", b"", location)

        with (
            instance(replies) as (address, received),
            pytest.raises(typer.Exit) as exc,
        ):
            http_calls.call_instance(address, "POST", "/evacuations", ORDER)
        assert exc.value.exit_code == Exit.UNREACHABLE
        assert len(received) == 3


class TestTruncated:
    """An instance ends, or its connection, before it has sent its answer."""

    @pytest.mark.parametrize("size", range(len(response(b"200 OK", ACCEPTED))))
    def test_is_not_taken_for_accepted(self, size):
        """Guards against an order that is reported as accepted for no reason.

        The answer may end at any byte, also within its head.
        """

        def replies(address):
            yield response(b"200 OK", ACCEPTED)[:size]

        with (
            instance(replies) as (address, _),
            pytest.raises(typer.Exit) as exc,
        ):
            reply = http_calls.call_instance(
                address, "POST", "/evacuations", ORDER
            )
            http_calls.exit_with(reply)
        assert exc.value.exit_code in (Exit.UNKNOWN, Exit.UNREACHABLE)
