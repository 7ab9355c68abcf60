"""Links are dialled and checked again after unexpected exceptions."""

from __future__ import annotations

import asyncio

import pytest

from greengagemoor.aio import background
from greengagemoor.aio.links import Links
from greengagemoor.feed.messages import LinkUp
from tests.test_aio.helpers import run
from tests.test_aio.test_links import Inbox


class TestDialling:
    """No exception ends the dialling of an address."""

    @pytest.mark.parametrize(
        "error", [ValueError, UnicodeError, RuntimeError, MemoryError]
    )
    def test_address_is_dialled_again(self, monkeypatch, error):
        """Guards against an address that is never dialled again."""
        errors = [error("once"), error("twice")]

        async def main():
            one, two = Inbox(), Inbox()
            server = Links("one", "127.0.0.1:0", one.put)
            await server.start()
            host, port = server._server.sockets[0].getsockname()
            loop = asyncio.get_running_loop()
            connect = loop.create_connection

            async def fail_twice(*arguments):
                if errors:
                    raise errors.pop()
                return await connect(*arguments)

            monkeypatch.setattr(loop, "create_connection", fail_twice)
            client = Links("two", "", two.put)
            client.set_addresses({f"{host}:{port}"})
            await two.get(LinkUp)

        run(main())
        assert not errors

    @pytest.mark.parametrize("address", [":", "x", "127.0.0.1:x", "h" * 64])
    def test_malformed_address_is_told_until_it_is_left_out(
        self, monkeypatch, address
    ):
        """Guards against a dial task that ends and keeps its address."""
        told = []
        monkeypatch.setattr(
            background,
            "log_failure",
            lambda name, exc: told.append(name),
        )

        async def main():
            client = Links("two", "", Inbox().put)
            client.set_addresses({address})
            while len(told) < 2:
                await asyncio.sleep(0.005)
            client.set_addresses(set())
            await asyncio.sleep(0)

        run(main())
        assert set(told) == {f"dial {address}"}

    def test_connections_that_close_at_once_are_not_dialled_in_a_loop(
        self, monkeypatch
    ):
        """Guards against a busy loop of connections that leave no link."""
        monkeypatch.setattr("greengagemoor.aio.dialler.CLOSED_CHECK_S", 1e6)
        dialled = []

        async def main():
            loop = asyncio.get_running_loop()

            async def connect(*arguments):
                await asyncio.sleep(0)
                dialled.append(arguments)
                return None, None

            monkeypatch.setattr(loop, "create_connection", connect)
            client = Links("two", "", Inbox().put)
            client.set_addresses({"127.0.0.1:1"})
            for _ in range(100):
                await asyncio.sleep(0)

        run(main())
        assert len(dialled) == 1
