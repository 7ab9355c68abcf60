"""Links between processes of ours, over loopback."""

from __future__ import annotations

import asyncio
import itertools
import struct
import zlib

import attrs
import pytest

from greengagemoor.aio import links as links_module
from greengagemoor.aio.dialpace import DialBackoff
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
    """Collects messages, and waits for one."""

    def __init__(self):
        self.msgs = []
        self.came = asyncio.Event()

    def put(self, msg):
        self.msgs.append(msg)
        self.came.set()

    async def get(self, kind):
        while True:
            for msg in self.msgs:
                if isinstance(msg, kind):
                    self.msgs.remove(msg)
                    return msg
            self.came.clear()
            await self.came.wait()


async def pair():
    """Returns two linked ends and their inboxes; the second one dialled."""
    one, two = Inbox(), Inbox()
    server = Links("one", "127.0.0.1:0", one.put)
    await server.start()
    host, port = server._server.sockets[0].getsockname()
    client = Links("two", "", two.put)
    await client.start()
    client.want({f"{host}:{port}"})
    await one.get(LinkUp)
    await two.get(LinkUp)
    return server, one, client, two


class TestLinks:
    """Both sides send on one connection."""

    def test_both_ways(self):
        async def main():
            server, one, client, two = await pair()
            client.send(Send("one", DocumentNumber(1)))
            server.send(Send("two", DocumentNumber(2)))
            return await one.get(Received), await two.get(Received)

        first, second = run(main())
        assert (first.sender, first.payload.number) == ("two", 1)
        assert (second.sender, second.payload.number) == ("one", 2)

    def test_lost_link_is_told_and_dialled_again(self):
        async def main():
            server, one, _, two = await pair()
            for link in list(server.open):
                link.close()
            await two.get(LinkDown)
            await two.get(LinkUp)

        run(main())

    def test_silent_link_is_closed(self, monkeypatch):
        """A cut drops no connection; without the bound it looks alive."""

        async def main():
            server, _, client, two = await pair()
            for link in client.open:
                link.last_received_at -= (
                    links_module.DIALLED_SILENCE_TIMEOUT_S + 1
                )
            client._check_links()
            await two.get(LinkDown)

        run(main())

    def test_large_batch_is_packed_and_arrives_whole(self):
        """Rows of all searchers to each entry were a fifth of the bytes."""

        async def main():
            server, one, client, two = await pair()
            before = client.sent_bytes
            client.send(Send("one", NumberedDocument(7, b"row " * 5000)))
            got = await one.get(Received)
            return got, client.sent_bytes - before

        got, size = run(main())
        assert got.payload == NumberedDocument(7, b"row " * 5000)
        assert size < 1000

    @pytest.mark.parametrize("body", [b"nonsense", zlib.compress(b"x")[:-2]])
    def test_bad_packed_frame_closes(self, body):
        async def main():
            server, one, client, two = await pair()
            head = struct.pack("!I", len(body) | links_module.COMPRESSED_FLAG)
            for link in client.open:
                link._transport.write(head + body)
            await one.get(LinkDown)

        run(main())

    def test_rows_that_many_get_are_the_same_for_each(self):
        """They are encoded once; a later message must not meet old bytes."""

        async def main():
            server, one, client, two = await pair()
            for rows in (ROWS, attrs.evolve(ROWS, number=2), ROWS):
                client.send(Send("one", rows))
            return [(await one.get(Received)).payload for _ in range(3)]

        first, second, third = run(main())
        assert first == third == ROWS
        assert second == attrs.evolve(ROWS, number=2)

    def test_each_end_is_named_once(self):
        """Later frames carry no name and are still the same sender's."""

        async def main():
            server, one, client, two = await pair()
            client.send(Send("one", DocumentNumber(1)))
            first = await one.get(Received)
            before = client.sent_bytes
            client._check_links()
            for link in client.open:
                link.send([])
            client.send(Send("one", DocumentNumber(2)))
            return first, await one.get(Received), client.sent_bytes - before

        first, second, size = run(main())
        assert (first.sender, second.sender) == ("two", "two")
        assert size <= 20

    def test_bad_frame_closes(self):
        async def main():
            server, one, client, two = await pair()
            for link in client.open:
                link._transport.write(b"\xff\xff\xff\xff nonsense")
            await one.get(LinkDown)

        run(main())

    def test_without_a_link_a_message_is_lost_quietly(self):
        async def main():
            server, one, _, _ = await pair()
            server.send(Send("nobody", DocumentNumber(1)))
            await asyncio.sleep(0.01)

        run(main())


class TestUnwanted:
    """Addresses of machines that are gone for good.

    Control instances that were replaced were dialled about once a second by
    each process that had known them, until that process ended: with 200
    processes and a few replacements a day that only grows. What was wanted
    once stayed wanted, as each list was added to those before.
    """

    def test_gone_address_is_dialled_no_more(self, monkeypatch):
        dialled = []

        async def main():
            client = Links("two", "", Inbox().put)
            loop = asyncio.get_running_loop()

            async def refuse(_, host, port):
                dialled.append(port)
                raise ConnectionRefusedError

            monkeypatch.setattr(loop, "create_connection", refuse)
            client.want({"127.0.0.1:1"})
            await asyncio.sleep(0.05)
            client.want({"127.0.0.1:2"})
            del dialled[:]
            await asyncio.sleep(0.1)

        run(main())
        assert set(dialled) == {2}

    def test_link_that_stands_is_kept(self):
        """What a list names no more may still be in the middle of a word."""

        async def main():
            server, one, client, two = await pair()
            client.want(set())
            await asyncio.sleep(0.01)
            client.send(Send("one", DocumentNumber(1)))
            return await one.get(Received)

        assert run(main()).payload == DocumentNumber(1)

    def test_wanted_again_after_it_was_not(self):
        async def main():
            server, one, client, two = await pair()
            address = next(iter(client.open)).dialled
            client.want(set())
            client.want({address})
            for link in list(client.open):
                link.close()
            await two.get(LinkDown)
            await two.get(LinkUp)

        run(main())


class TestDialPace:
    """Dials to a machine that is dark, then listens."""

    def test_found_soon_after_a_loss_of_power(self):
        """Symptom: an entry's first link stood a second after its start.

        Sequence: all machines lose power and come back some ten milliseconds
        apart. The entry dials while the control machine is dark; the packet
        is dropped and sent again after a second. Cause: one dial could take
        0.8 s.
        """
        backoff = DialBackoff()
        at = 0.0
        begun = []
        while at < 2.0:
            begun.append(at)
            at += backoff.connect_s + backoff.wait_s
            backoff.note_failure()
        gaps = [later - earlier for earlier, later in itertools.pairwise(begun)]
        early = [gap for gap, at in zip(gaps, begun, strict=False) if at < 0.5]
        assert max(early) < 0.15

    def test_a_machine_that_stays_dark_is_left_alone(self):
        backoff = DialBackoff()
        for _ in range(100):
            backoff.note_failure()
        assert backoff.connect_s + backoff.wait_s == 2 * backoff.longest_s
