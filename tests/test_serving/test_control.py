"""A control instance's calls on the event loop, without sockets."""

from __future__ import annotations

import asyncio
import json
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemoor.aio.requests import HttpRequest
from greengagemoor.control.commands import Member
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.joinmessages import JoinReply
from greengagemoor.control.messages import Received
from greengagemoor.feed.messages import LinkUp, RowsTaken, Subscribe
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.serving.control import ControlApp
from greengagemoor.serving.settings import ServingSettings
from tests.test_platform.test_other_writers import BEAT

TURNS = 3


@attrs.define
class Caller:
    """Collects the answers to one caller."""

    statuses: list[int] = attrs.field(factory=list)

    def reply(self, req, status, headers, body):
        self.statuses.append(status)


def outside() -> ControlDecider:
    """Returns a member that belongs to no group."""
    seeds = {"10.0.0.3": "10.0.0.3:7740"}
    rng = random.Random(1)
    return ControlDecider("10.0.0.2#new", "10.0.0.2:7740", seeds, rng)


def play(bodies, decider=None, *msgs):
    """Sends announcements to one control instance; returns it and statuses.

    Args:
        bodies: of the announcements.
        decider: the instance's member of the control group, if it is open.
        *msgs: what it got from other processes before.
    """

    async def run():
        cfg = ServingSettings("10.0.0.2", "dc1", "10.0.0.2:7740", ())
        app = ControlApp(cfg, PlatformDialect())
        app._decider = decider
        app._ticker.tick()
        for msg in msgs:
            app._ticker.put(msg)
            for _ in range(TURNS):
                await asyncio.sleep(0)
        statuses = []
        for number, body in enumerate(bodies):
            caller = Caller()
            target = f"/v1/instances/i{number}/heartbeat"
            app.take(HttpRequest("POST", target, [], body, 0.0, caller))
            for _ in range(TURNS):
                await asyncio.sleep(0)
            statuses.append(caller.statuses)
        return app, statuses

    return asyncio.run(run())


class TestAnnouncements:
    """One that can't be read costs nobody else anything."""

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
    def test_the_others_hold(self, bad):
        """Symptom: good announcements of the same moment were not taken.

        Sequence: one whose address is a list is read as a row; the tick that
        looks it up fails. Cause: fields were taken without a look at types.
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


class TestOutsideAGroup:
    """A control instance that has not been taken in yet."""

    GOOD = json.dumps(BEAT).encode()
    DRAINS = json.dumps({**BEAT, "state": "draining"}).encode()

    def test_acknowledges_nothing_that_no_entry_hears(self):
        """Entries went on sending to a searcher whose drain was acknowledged.

        A newcomer listened for searchers from its start, and entries are told
        of it once it is a member. A searcher that drained at it was answered
        at once, as no entry had to take the change in; all entries went on
        taking it for ready until it was silent for long enough:

            event=searcher id=i7 state=ready (at each entry)
            POST heartbeat state=draining at the newcomer: 200 in 1 ms
        """
        _, statuses = play([self.GOOD, self.DRAINS], outside())
        assert statuses == [[503], [503]]

    def test_acknowledges_when_an_entry_is_linked(self):
        """At the first start entries are there before the group is."""
        subscribe = Subscribe("e1", "10.0.1.1:80", "dc1", ready=True)
        entry = Received("e1", subscribe)
        taken = Received("e1", RowsTaken(10))
        _, statuses = play([self.GOOD], outside(), LinkUp("e1"), entry, taken)
        assert statuses == [[200]]

    def test_asks_whom_it_was_told_of(self):
        """Operators' calls went to its seeds only, whoever led."""
        leader = Member("10.0.0.9#a", "10.0.0.9", "10.0.0.9:7740", voter=True)
        reply = JoinReply("group", "10.0.0.3#a", False, "10.0.0.9#a", (leader,))
        app, _ = play([], outside(), Received("10.0.0.3", reply))
        assert "10.0.0.9" in app._client.targets
        assert "10.0.0.9:7740" in app._links._wanted
