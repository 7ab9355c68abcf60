"""A control instance's calls on the event loop, without sockets."""

from __future__ import annotations

import asyncio
import json

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemoor.aio.server import HttpRequest
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


def play(bodies):
    """Sends announcements to one control instance; returns it and statuses."""

    async def run():
        cfg = ServingSettings("10.0.0.2", "dc1", "10.0.0.2:7740", ())
        app = ControlApp(cfg, PlatformDialect())
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
