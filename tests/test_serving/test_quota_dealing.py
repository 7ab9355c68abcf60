"""The dealer of quotas in a control instance, without sockets."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from collections import deque

import pytest

from greengagemoor.control.commands import Member
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.messages import (
    NumberedDocumentAccepted,
    Received,
)
from greengagemoor.control.state import Role
from greengagemoor.feed.messages import LinkDown, LinkUp
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.quota.messages import (
    QuotaAsk,
    QuotaReply,
    TokenGrant,
    TokenRequest,
    TokenRow,
)
from greengagemoor.serving import quota_dealing
from greengagemoor.serving.control import ControlApp
from greengagemoor.serving.quota_dealing import QuotaDealing
from greengagemoor.serving.settings import ServingSettings
from greengagemoor.wire import codec
from tests.test_platform.test_adapter import DOCUMENT
from tests.test_quota.dealers import limited

OWN = "10.0.0.2"
OTHERS = ("10.0.0.3", "10.0.0.4")
TENANT = {
    "name": "ann",
    "api-keys": ["k"],
    "rate-per-s": 50,
    "burst": 100,
}


def settings(**kwargs) -> ServingSettings:
    return ServingSettings(OWN, "dc1", f"{OWN}:7740", (), **kwargs)


def member(app: ControlApp) -> ControlDecider:
    """Returns a voter of a group of three that has a leader."""
    decider = ControlDecider(f"{OWN}#1", f"{OWN}:7740", {}, random.Random(1))
    state = decider.state
    state.group, state.role = "g", Role.FOLLOWER
    state.members = {
        f"{name}#1": Member(f"{name}#1", name, f"{name}:7740", voter=True)
        for name in (OWN, *OTHERS)
    }
    state.last_leader_contact_at = app.clock.now()
    state.election_at = app.clock.now() + 60
    return decider


def play(document, msgs, *, is_member=True, **kwargs):
    """Delivers messages in one tick; returns the app and what it sent."""

    async def run():
        app = ControlApp(settings(**kwargs), PlatformDialect())
        sent = []
        app._links.send = lambda msg: sent.append((msg.to, msg.payload))
        if is_member:
            app._decider = member(app)
        packed = zlib.compress(json.dumps(document).encode())
        app._act(NumberedDocumentAccepted(7, packed), deque())
        app._tick(app.clock.now(), [LinkUp(name) for name in OTHERS])
        sent.clear()
        app._tick(app.clock.now(), msgs)
        return app, [row for row in sent if _is_of_quotas(row[1])]

    return asyncio.run(run())


def _is_of_quotas(payload) -> bool:
    return isinstance(payload, QuotaReply | TokenRequest | TokenGrant)


ASK = Received("e1", QuotaAsk(4, "ann", 1))


class TestControlInstance:
    """A member answers asks in the tick in which they arrive."""

    def test_answers_in_the_same_tick(self):
        app, sent = play({**DOCUMENT, "tenants": [TENANT]}, [ASK])
        assert sent == [("e1", QuotaReply(4, "ann", 1, 0.35, 0.0, True))]
        gauges = app._gauges()
        assert gauges["quota_dealing"] == 1.0
        assert gauges["quota_tokens_granted_total"] == 1

    def test_settings_reach_the_dealer(self):
        """Guards against bounds of the settings file that change nothing."""
        _, sent = play(
            {**DOCUMENT, "tenants": [TENANT]}, [ASK], quota_window_s=10.0
        )
        assert sent[0][1].valid_s == pytest.approx(0.7)

    def test_exchanges_tokens_with_members(self):
        """Guards against messages of dealers that are not dispatched."""
        request = Received(OTHERS[0], TokenRequest(("ann",), 0.001))
        many = Received("e1", QuotaAsk(5, "ann", 9))
        _, sent = play({**DOCUMENT, "tenants": [TENANT]}, [request, many])
        kinds = [(to, type(payload)) for to, payload in sent]
        assert (OTHERS[0], TokenGrant) in kinds
        assert (OTHERS[0], TokenRequest) in kinds
        assert (OTHERS[1], TokenRequest) in kinds

    def test_outside_the_group_nothing_is_dealt(self):
        _, sent = play(
            {**DOCUMENT, "tenants": [TENANT]}, [ASK], is_member=False
        )
        assert [reply.dealing for _, reply in sent] == [False]

    def test_without_accounts_nothing_runs(self):
        """Guards against messages in deployments without accounts."""
        app, sent = play(DOCUMENT, [LinkDown(OTHERS[0])])
        assert sent == []
        assert app._quotas.dealer.next_wake() is None

    @pytest.mark.parametrize(
        "payload",
        [
            QuotaAsk(4, "ann", 1),
            QuotaReply(4, "ann", 1, 0.35, 0.0, True),
            TokenRequest(("ann", "bob"), 0.5),
            TokenGrant((TokenRow("ann", 0.25),)),
        ],
    )
    def test_payloads_survive_the_wire(self, payload):
        batch = codec.to_batch("a", "", [payload])
        assert list(codec.from_batch(batch)) == [payload]


class TestLogLines:
    """Changes of whether an instance deals are logged, within a budget."""

    def test_flapping_links_are_bounded(self, monkeypatch):
        """Guards against a log filled by links that fail repeatedly."""
        lines = []
        monkeypatch.setattr(
            quota_dealing.log,
            "event",
            lambda event, **fields: lines.append((event, fields)),
        )
        dealing = QuotaDealing(settings())
        dealing.dealer.set_members(0.0, (OWN, *OTHERS), OWN)
        dealing.dealer.set_accounts(0.0, [limited("ann", 50, 100)])
        for second in range(100):
            dealing.dealer.note_contact(second + 0.5)
            dealing.step(second + 0.1, [LinkUp(OTHERS[0])])
            dealing.step(second + 0.6, [LinkDown(OTHERS[0])])
        assert {event for event, _ in lines} == {"quota_dealing"}
        assert lines[0][1]["active"] is True
        assert lines[1][1]["reason"] == "no link to a majority"
        assert 20 <= len(lines) <= 45
