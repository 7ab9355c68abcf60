"""Links between instances, over loopback."""

from __future__ import annotations

import asyncio
import itertools
import struct
import zlib

import attrs
import pytest

from greengagemoor.aio import links as links_module
from greengagemoor.aio.dial_backoff import DialBackoff
from greengagemoor.aio.links import Links
from greengagemoor.control.messages import Received, Send
from greengagemoor.feed.messages import (
    DocumentNumber,
    LinkDown,
    LinkUp,
    NumberedDocument,
    SearcherRow,
    SearcherRows,
    SearcherState,
)
from tests.test_aio.helpers import run

ROWS = SearcherRows(
    1,
    True,
    (
        SearcherRow(
            "i1", "s", "10.0.0.1:80", "dc1", SearcherState.READY, 1, 2, 0.0
        ),
    ),
)


class Inbox:
    """Collects messages; ``get`` waits for one of a class."""

    def __init__(self):
        self.msgs = []
        self.changed = asyncio.Event()

    def put(self, msg):
        self.msgs.append(msg)
        self.changed.set()

    async def get(self, kind):
        while True:
            for msg in self.msgs:
                if isinstance(msg, kind):
                    self.msgs.remove(msg)
                    return msg
            self.changed.clear()
            await self.changed.wait()


async def linked_pair():
    """Returns the accepting and the dialling end, each with its inbox."""
    one, two = Inbox(), Inbox()
    server = Links("one", "127.0.0.1:0", one.put)
    await server.start()
    host, port = server._server.sockets[0].getsockname()
    client = Links("two", "", two.put)
    await client.start()
    client.set_addresses({f"{host}:{port}"})
    await one.get(LinkUp)
    await two.get(LinkUp)
    return server, one, client, two


class TestLinks:
    """Messages over one connection, and its loss."""

    def test_messages_in_both_directions(self):
        async def main():
            server, one, client, two = await linked_pair()
            client.send(Send("one", DocumentNumber(1)))
            server.send(Send("two", DocumentNumber(2)))
            return await one.get(Received), await two.get(Received)

        first, second = run(main())
        assert (first.sender, first.payload.number) == ("two", 1)
        assert (second.sender, second.payload.number) == ("one", 2)

    def test_closed_link_is_reported_and_dialled_again(self):
        async def main():
            server, one, _, two = await linked_pair()
            for link in list(server.open_links):
                link.close()
            await two.get(LinkDown)
            await two.get(LinkUp)

        run(main())

    def test_silent_link_is_closed(self, monkeypatch):
        """A network partition closes no connection; the timeout must."""

        async def main():
            server, _, client, two = await linked_pair()
            for link in client.open_links:
                link.last_received_at -= (
                    links_module.DIALLED_SILENCE_TIMEOUT_S + 1
                )
            client._check_links()
            await two.get(LinkDown)

        run(main())

    def test_large_batch_is_compressed(self):
        """Uncompressed rows of searchers were a fifth of all bytes sent."""

        async def main():
            server, one, client, two = await linked_pair()
            before = client.sent_bytes
            client.send(Send("one", NumberedDocument(7, b"row " * 5000)))
            got = await one.get(Received)
            return got, client.sent_bytes - before

        got, size = run(main())
        assert got.payload == NumberedDocument(7, b"row " * 5000)
        assert size < 1000

    @pytest.mark.parametrize("body", [b"nonsense", zlib.compress(b"x")[:-2]])
    def test_invalid_compressed_frame_closes_the_link(self, body):
        async def main():
            server, one, client, two = await linked_pair()
            head = struct.pack("!I", len(body) | links_module.COMPRESSED_FLAG)
            for link in client.open_links:
                link._transport.write(head + body)
            await one.get(LinkDown)

        run(main())

    def test_cached_encoding_of_broadcast_rows(self):
        """A changed message must not be sent from the cache."""

        async def main():
            server, one, client, two = await linked_pair()
            for rows in (ROWS, attrs.evolve(ROWS, number=2), ROWS):
                client.send(Send("one", rows))
            return [(await one.get(Received)).payload for _ in range(3)]

        first, second, third = run(main())
        assert first == third == ROWS
        assert second == attrs.evolve(ROWS, number=2)

    def test_name_is_sent_in_the_first_frame_only(self):
        """Later frames are attributed to the same sender without a name."""

        async def main():
            server, one, client, two = await linked_pair()
            client.send(Send("one", DocumentNumber(1)))
            first = await one.get(Received)
            before = client.sent_bytes
            client._check_links()
            for link in client.open_links:
                link.send([])
            client.send(Send("one", DocumentNumber(2)))
            return first, await one.get(Received), client.sent_bytes - before

        first, second, size = run(main())
        assert (first.sender, second.sender) == ("two", "two")
        assert size <= 20

    def test_invalid_frame_closes_the_link(self):
        async def main():
            server, one, client, two = await linked_pair()
            for link in client.open_links:
                link._transport.write(b"\xff\xff\xff\xff nonsense")
            await one.get(LinkDown)

        run(main())

    def test_message_without_a_link_is_dropped(self):
        async def main():
            server, one, _, _ = await linked_pair()
            server.send(Send("nobody", DocumentNumber(1)))
            await asyncio.sleep(0.01)

        run(main())


class TestRemovedAddresses:
    """Addresses of replaced control instances are no longer dialled.

    Guards against adding each new list of addresses to the earlier ones: every
    process would dial replaced instances about once a second until it ends, and
    with 200 processes and a few replacements a day that load only grows.
    """

    def test_removed_address_is_not_dialled(self, monkeypatch):
        dialled = []

        async def main():
            client = Links("two", "", Inbox().put)
            loop = asyncio.get_running_loop()

            async def refuse(_, host, port):
                dialled.append(port)
                raise ConnectionRefusedError

            monkeypatch.setattr(loop, "create_connection", refuse)
            client.set_addresses({"127.0.0.1:1"})
            await asyncio.sleep(0.05)
            client.set_addresses({"127.0.0.1:2"})
            del dialled[:]
            await asyncio.sleep(0.1)

        run(main())
        assert set(dialled) == {2}

    def test_open_link_is_kept(self):
        """A link whose address was removed may still carry messages."""

        async def main():
            server, one, client, two = await linked_pair()
            client.set_addresses(set())
            await asyncio.sleep(0.01)
            client.send(Send("one", DocumentNumber(1)))
            return await one.get(Received)

        assert run(main()).payload == DocumentNumber(1)

    def test_address_added_again(self):
        async def main():
            server, one, client, two = await linked_pair()
            address = next(iter(client.open_links)).dialled
            client.set_addresses(set())
            client.set_addresses({address})
            for link in list(client.open_links):
                link.close()
            await two.get(LinkDown)
            await two.get(LinkUp)

        run(main())


class TestDialBackoff:
    """Connection attempts to a machine that is down at first."""

    def test_short_intervals_at_first(self):
        """Guards against a first link only a second after an entry's start.

        After a power loss machines come back some ten milliseconds apart. An
        entry dials a control machine that is still down; the SYN is dropped
        and retransmitted after a second, and one attempt could take 0.8 s.
        """
        backoff = DialBackoff()
        at = 0.0
        begun = []
        while at < 2.0:
            begun.append(at)
            at += backoff.connect_s + backoff.wait_s
            backoff.record_failure()
        gaps = [later - earlier for earlier, later in itertools.pairwise(begun)]
        early = [gap for gap, at in zip(gaps, begun, strict=False) if at < 0.5]
        assert max(early) < 0.15

    def test_intervals_grow_to_a_bound(self):
        backoff = DialBackoff()
        for _ in range(100):
            backoff.record_failure()
        assert backoff.connect_s + backoff.wait_s == 2 * backoff.max_s
