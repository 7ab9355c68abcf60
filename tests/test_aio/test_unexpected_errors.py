"""Requests end although something unexpected is raised."""

from __future__ import annotations

import asyncio

import pytest

from greengagemoor.aio.client import HttpFailure
from greengagemoor.aio.pool import Pool
from tests.test_aio.helpers import run
from tests.test_aio.test_client import ask
from tests.test_aio.test_server import Recorder, exchange


class FailingHandler(Recorder):
    """Raises on the first request."""

    def handle_request(self, req):
        if not self.reqs:
            self.reqs.append(req)
            raise KeyError("table")
        super().handle_request(req)


class TestRequests:
    """Each request ends, on the side of the caller and of the searcher."""

    @pytest.mark.parametrize("address", ["127.0.0.1:x", "", "\udc80:80"])
    def test_malformed_address_fails_the_request(self, address):
        """Guards against a request to a searcher that never ends."""

        async def main():
            pool = Pool()
            refused = asyncio.get_running_loop().create_future()
            pool.check_listening(address, refused.set_result)
            return await ask(pool, address), await refused

        end, refused = run(main())
        assert isinstance(end, HttpFailure)
        assert not end.sent
        assert not refused

    def test_handler_that_raises_is_answered(self):
        """Guards against a caller that waits on a connection for ever."""
        received = run(
            exchange(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", FailingHandler())
        )
        assert received.startswith(b"HTTP/1.1 500")
        assert b"Connection: close" in received
