"""Links are dialled and checked again after unexpected exceptions."""

from __future__ import annotations

import asyncio

import pytest

from greengagemoor.aio import links as links_module
from greengagemoor.aio.links import Links
from greengagemoor.feed.messages import LinkDown, LinkUp
from tests.test_aio.helpers import run
from tests.test_aio.test_links import Inbox, linked_pair


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
            links_module.background,
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


class TestChecks:
    """The check of the links goes on after an exception."""

    @pytest.fixture(autouse=True)
    def short_intervals(self, monkeypatch):
        """Shortens keep-alives; no link is closed as silent."""
        monkeypatch.setattr(links_module, "KEEP_ALIVE_S", 0.01)
        monkeypatch.setattr(links_module, "SILENCE_TIMEOUT_S", 1e6)
        monkeypatch.setattr(links_module, "DIALLED_SILENCE_TIMEOUT_S", 1e6)

    def test_link_that_fails_is_replaced_and_checked(self, monkeypatch):
        """Guards against links without keep-alives after one failed send."""

        def fail(payloads):
            raise RuntimeError("odd")

        async def main():
            _, _, client, two = await linked_pair()
            (link,) = client.open_links
            link.send = fail
            await two.get(LinkDown)
            await two.get(LinkUp)
            (link,) = client.open_links
            sent = link.last_sent_at
            while link.last_sent_at == sent:
                await asyncio.sleep(0.005)
            return link

        assert run(main()) is not None

    def test_other_links_are_checked_beside_one_that_fails(self, monkeypatch):
        """Guards against one link that keeps others from being checked."""
        checked = []

        class FakeLink:
            name = "x"

            def is_silent(self, now):
                checked.append(self)
                raise RuntimeError("odd")

            def close(self):
                pass

        async def main():
            client = Links("two", "", Inbox().put)
            client.open_links = {FakeLink(), FakeLink()}
            client._check_links()

        run(main())
        assert len(checked) == 2
