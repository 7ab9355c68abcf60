"""Calls to a control instance on the event loop, without sockets."""

from __future__ import annotations

import asyncio
import json
import random
from unittest.mock import AsyncMock, Mock

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemoor.aio import sockets
from greengagemoor.aio.requests import HttpRequest
from greengagemoor.control.commands import Member
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.join_messages import JoinReply, JoinRequest
from greengagemoor.control.messages import Received
from greengagemoor.feed.messages import LinkUp, RowsTaken, Subscribe
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.serving.control import ControlApp
from greengagemoor.serving.event_log import UnavailableLog
from greengagemoor.serving.settings import ServingSettings
from tests.test_aio.helpers import run
from tests.test_platform.test_malformed_input import BEAT

LOOP_TURNS = 3
ACKNOWLEDGED_S = 0.05
ALL_ROWS = 2**62
"""Above the number of any rows."""


@attrs.define
class Caller:
    """Records the answers to one caller."""

    statuses: list[int] = attrs.field(factory=list)

    def reply(self, req, status, headers, body, *, close=False):
        self.statuses.append(status)


def member_without_group() -> ControlDecider:
    """Returns a member that belongs to no group."""
    seeds = {"127.0.0.3": "127.0.0.3:7740"}
    rng = random.Random(1)
    return ControlDecider("127.0.0.2#new", "127.0.0.2:7740", seeds, rng)


def play(bodies, decider=None, *msgs):
    """Sends announcements to one control instance; returns it and statuses.

    Args:
        bodies: bodies of the announcements.
        decider: the instance's member of the control group, if it is open.
        *msgs: messages that it received from other processes before.
    """

    async def run():
        cfg = ServingSettings("127.0.0.2", "dc1", "127.0.0.2:7740", ())
        app = ControlApp(cfg, PlatformDialect())
        app._decider = decider
        app._ticker.tick()
        for msg in msgs:
            app._ticker.put(msg)
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)
        statuses = []
        for number, body in enumerate(bodies):
            caller = Caller()
            target = f"/v1/instances/i{number}/heartbeat"
            app.calls.handle_request(
                HttpRequest("POST", target, [], body, 0.0, caller)
            )
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)
            statuses.append(caller.statuses)
        return app, statuses

    return asyncio.run(run())


class TestAnnouncements:
    """A malformed announcement does not affect others."""

    GOOD = json.dumps(BEAT).encode()

    @pytest.mark.parametrize(
        "bad",
        [
            {"address": ["10.0.0.1:80"]},
            {"seq-no": 10**30},
            {"slots": None},
            {"zone": "\ud800"},
        ],
    )
    def test_malformed_one_affects_no_other(self, bad):
        """Guards against losing valid announcements of the same tick.

        Without checks of field types, an announcement whose address is a list
        is read as a row, and the tick that looks the address up fails.
        """
        odd = json.dumps({**BEAT, **bad}).encode()
        app, statuses = play([self.GOOD, odd, self.GOOD])
        assert statuses == [[200], [400], [200]]
        assert app._ticker.failures == 0
        assert app._gauges()["bad_calls_total"] == 1

    @settings(max_examples=25)
    @given(st.lists(st.binary(), min_size=1, max_size=4))
    def test_any_bytes(self, bodies):
        app, statuses = play([*bodies, self.GOOD])
        assert statuses == [*[[400]] * len(bodies), [200]]
        assert app._ticker.failures == 0


class TestStop:
    """A control instance that stops answers the calls that it has read."""

    def test_call_is_answered_before_the_instance_ends(self):
        """Guards against a connection that ends without an answer."""
        received = run(stop_during_an_announcement())
        assert received.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in received


async def stop_during_an_announcement():
    """Stops an instance before an entry acknowledges an announcement.

    Returns:
        The bytes sent to the caller before the instance had stopped.
    """
    cfg = ServingSettings(
        "127.0.0.2",
        "dc1",
        "127.0.0.2:7740",
        (),
        control_address="127.0.0.1:1",
    )
    app = ControlApp(cfg, PlatformDialect())
    app._decider = member_without_group()
    app._store_task = asyncio.create_task(asyncio.sleep(0))
    app._durable = Mock(close=AsyncMock())
    listener = sockets.listen("127.0.0.1:0")
    (server,) = app._servers
    await server.start(listener)
    subscribe = Subscribe("e1", "127.0.1.1:80", "dc1", ready=True)
    app._ticker.put(LinkUp("e1"))
    app._ticker.put(Received("e1", subscribe))
    reader, writer = await asyncio.open_connection(*listener.getsockname())
    body = json.dumps(BEAT).encode()
    head = b"POST /v1/instances/i1/heartbeat HTTP/1.1\r\nContent-Length: %d"
    writer.write(head % len(body) + b"\r\n\r\n" + body)
    while not server.count_busy():
        await asyncio.sleep(0)
    loop = asyncio.get_running_loop()
    acknowledgement = Received("e1", RowsTaken(ALL_ROWS))
    loop.call_later(ACKNOWLEDGED_S, app._ticker.put, acknowledgement)
    await app.stop()
    received = await reader.read() if not server.conns else b""
    writer.close()
    return received


class TestDirectory:
    """Callers look up entries."""

    def test_lists_entries_of_the_callers_data_centre_first(self):
        """Guards against a look-up that ignores the caller's data centre."""
        entries = [
            Subscribe(f"e{i}", f"127.0.1.{i}:80", f"dc{i % 3}", ready=True)
            for i in range(90)
        ]
        msgs = [Received(entry.name, entry) for entry in entries]
        app, _ = play([], None, *msgs)
        conn = Mock()
        app.calls.handle_request(
            HttpRequest("GET", "/v1/resolve?zone=dc2", [], b"", 0.0, conn)
        )
        addresses = json.loads(conn.reply.call_args.args[3])["addrs"]
        own = {entry.address for entry in entries if entry.data_centre == "dc2"}
        assert len(addresses) <= 64
        assert set(addresses[:30]) == own
        assert not own.intersection(addresses[30:])


class TestOutsideAGroup:
    """A control instance that has not joined the group yet."""

    GOOD = json.dumps(BEAT).encode()
    DRAINS = json.dumps({**BEAT, "state": "draining"}).encode()

    def test_acknowledges_nothing_without_linked_entries(self):
        """Guards against sends to a searcher whose drain was acknowledged.

        A control instance accepts announcements from its start, but entries
        link to it only once it is a member. If it answered a drain with 200
        within 1 ms, as there is no entry to wait for, all entries would regard
        the searcher as ready until its silence timeout.
        """
        _, statuses = play([self.GOOD, self.DRAINS], member_without_group())
        assert statuses == [[503], [503]]

    def test_acknowledges_when_an_entry_is_linked(self):
        """At the first start entries are linked before the group exists."""
        subscribe = Subscribe("e1", "127.0.1.1:80", "dc1", ready=True)
        entry = Received("e1", subscribe)
        taken = Received("e1", RowsTaken(ALL_ROWS))
        _, statuses = play(
            [self.GOOD], member_without_group(), LinkUp("e1"), entry, taken
        )
        assert statuses == [[200]]

    def test_forwards_to_members_named_in_a_join_reply(self):
        """Guards against forwarding to the seeds only, whoever leads."""
        leader = Member(
            "127.0.0.9#a", "127.0.0.9", "127.0.0.9:7740", voter=True
        )
        reply = JoinReply(
            "group", "127.0.0.3#a", False, "127.0.0.9#a", (leader,)
        )
        app, _ = play([], member_without_group(), Received("127.0.0.3", reply))
        assert "127.0.0.9" in app._operations.targets
        assert "127.0.0.9:7740" in app._links.dialled_addresses


class TestUnavailableMember:
    """An instance without its member says so; join requests get no answer."""

    def test_says_that_its_folder_is_not_open(self, monkeypatch):
        """Guards against a silent instance that looks like one that is down."""
        lines = []
        monkeypatch.setattr(
            "greengagemoor.log.event",
            lambda name, **fields: lines.append((name, fields)),
        )
        request = JoinRequest("127.0.0.3#a", "127.0.0.3", "127.0.0.3:7740", 1)
        log = UnavailableLog()
        for tenth in range(101):
            msgs = [Received("127.0.0.3", request)] if tenth % 10 == 0 else []
            log.note(tenth / 10, msgs)
        ages = [fields["age_s"] for _, fields in lines]
        assert ages == [1.0, 2.0, 4.0, 8.0]
        assert lines[-1][1]["number"] == 9
        assert {name for name, _ in lines} == {"member_unavailable"}
        log.end()
        log.note(20.0, [])
        assert len(lines) == 4
