"""A quota gate under a fake clock, and fake dealers of tokens."""

from __future__ import annotations

import random

import attrs

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed.messages import LinkUp
from greengagemoor.forward.messages import Arrived
from greengagemoor.quota.gate import QuotaGate
from greengagemoor.quota.messages import QuotaReply
from greengagemoor.quota.rejections import QuotaRejected
from greengagemoor.routing.accounts import ClientAccount
from greengagemoor.routing.routes import RouteTable
from tests.test_forward.helpers import single

ACCOUNT = ClientAccount("acme", ("k",), rate_per_s=10.0, burst=20.0)
FREE = ClientAccount("free", ("f",))
ROUTE = single()
CONTROL = ("c1", "c2", "c3", "c4")


class GateBench:
    """Steps a gate; replies are given by the test."""

    def __init__(self, instances=CONTROL, seed=1):
        self.now = 100.0
        self.gate = QuotaGate(random.Random(seed))
        self.tokens = 0
        self.step(*(LinkUp(name) for name in instances))

    def step(self, *msgs, after=0.0):
        self.now += after
        return self.gate.step(self.now, msgs)

    def wake(self):
        """Moves the clock to the gate's next timer and ticks."""
        self.now = max(self.now, self.gate.next_wake())
        return self.step()

    def request(self, account=ACCOUNT, **changes):
        """Returns the next request."""
        self.tokens += 1
        values = {"route": ROUTE, "remaining_wait_s": None, **changes}
        return Arrived(
            self.tokens, f"r{self.tokens}", account=account, **values
        )

    def arrive(self, number=1, account=ACCOUNT, after=0.0):
        msgs = [self.request(account) for _ in range(number)]
        return self.step(*msgs, after=after)

    def reply(self, send, granted=0, wait_s=0.0, after=0.0, **changes):
        """Answers an ask."""
        return self.step(
            reply_to(send, granted, wait_s, **changes), after=after
        )


def reply_to(send, granted=0, wait_s=0.0, valid_s=1.0, dealing=True):
    ask = send.payload
    reply = QuotaReply(
        ask.ask_id, ask.account, granted, valid_s, wait_s, dealing
    )
    return Received(send.to, reply)


def asks(out):
    """Returns the asks among messages."""
    return [msg for msg in out if isinstance(msg, Send)]


def admitted(out):
    """Returns the admitted requests among messages."""
    return [msg for msg in out if isinstance(msg, Arrived)]


def rejected(out):
    """Returns the refusals among messages."""
    return [msg for msg in out if isinstance(msg, QuotaRejected)]


def table_of(*accounts):
    """Returns a document with these accounts; none at all for no argument."""
    return RouteTable(2, (), {}, None, accounts or None)


@attrs.define
class ExactDealer:
    """The whole bucket of one account, which is full at first."""

    account: ClientAccount
    now: float = 0.0
    level: float = attrs.field()
    granted: int = 0

    @level.default
    def _full(self):
        return self.account.burst

    def deal(self, now, ask):
        """Returns the number of tokens, and the wait if there are none."""
        gained = (now - self.now) * self.account.rate_per_s
        self.level = min(self.account.burst, self.level + gained)
        self.now = now
        granted = min(ask.number, int(self.level + 1e-9))
        self.level -= granted
        self.granted += granted
        if granted:
            return granted, 0.0
        return 0, (1.0 - self.level) / self.account.rate_per_s
