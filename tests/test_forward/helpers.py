"""A forward decider under a fake clock, and helpers to drive it."""

from __future__ import annotations

import random

from greengagemoor.feed.messages import (
    SearcherRow,
    SearcherState,
    SearcherUpdated,
)
from greengagemoor.forward import messages as m
from greengagemoor.forward.decider import ForwardDecider
from greengagemoor.forward.policy import Policy
from greengagemoor.routing.routes import (
    Gather,
    Grade,
    Route,
    RouteTable,
    ServiceRules,
    WeightedService,
)

LIMITS = None


def single(**changes):
    """Returns a route to one service."""
    values = {
        "name": "one",
        "host": "h",
        "prefix": "/one/",
        "grade": Grade.REPEATABLE,
        "time_limit_s": 1.0,
        "objective_s": 0.2,
        "rank": 1,
        "attempts": 2,
        "split": (WeightedService("s0"),),
    }
    return Route(**{**values, **changes})


def gather(shards=4, least=0.75, **changes):
    """Returns a route over the services s0, s1 and so on."""
    services = tuple(f"s{i}" for i in range(shards))
    return single(
        name="all", split=(), gather=Gather(services, 3, least), **changes
    )


class Bench:
    """Steps a decider and collects its output in ``outputs``."""

    def __init__(self, services=1, searchers=3, cap=40, **policy):
        self.now = 100.0
        self.decider = ForwardDecider("dc1", random.Random(1), Policy(**policy))
        # First tick a minute ago, so that the budgets have their whole slack.
        self.decider.step(self.now - 60.0, ())
        names = [f"s{i}" for i in range(services)]
        rules = {name: ServiceRules(name, cap) for name in names}
        self.decider.set_routes(RouteTable(1, (), rules, LIMITS))
        self.outputs = []
        self.tokens = 0
        for name in names:
            for i in range(searchers):
                self.learn(f"{name}.{i}", name)

    def learn(
        self,
        searcher_id,
        service,
        state=SearcherState.READY,
        seq=1,
        data_centre="dc1",
    ):
        address = f"{searcher_id}:1"
        row = SearcherRow(
            searcher_id, service, address, data_centre, state, seq, 5, 0.0
        )
        return self.step(SearcherUpdated(row))

    def step(self, *msgs, after=0.0):
        """Advances the clock, then ticks; returns the output."""
        self.now += after
        out = self.decider.step(self.now, msgs)
        self.outputs += out
        return out

    def pass_time(self, seconds, tick=0.005):
        """Ticks until that many seconds have passed; returns the output."""
        out = []
        for _ in range(round(seconds / tick)):
            out += self.step(after=tick)
        return out

    def arrive(self, route, remaining_wait_s=None, fingerprint=b""):
        self.tokens += 1
        msg = m.Arrived(
            self.tokens,
            f"r{self.tokens}",
            route,
            remaining_wait_s,
            fingerprint,
        )
        return self.step(msg)

    def answer(self, start, body=b"", status=200, signature=None, **more):
        """Ends a send with a searcher's answer."""
        signed_by = start.searcher_id if signature is None else signature
        answer = m.SearcherAnswer(status, signed_by, (), body, **more)
        return self.step(
            m.AttemptEnded(start.attempt_id, m.Outcome.ANSWERED, answer)
        )

    def end(self, start, outcome, **more):
        return self.step(m.AttemptEnded(start.attempt_id, outcome, **more))


def starts(out):
    """Returns the sends among messages."""
    return [msg for msg in out if isinstance(msg, m.StartAttempt)]


def answers(out):
    """Returns the final answers among messages."""
    return [msg for msg in out if isinstance(msg, m.Respond)]


def warm(bench, route, times=40, seconds=0.02):
    """Lets the decider measure the route's usual response time."""
    for _ in range(times):
        for start in starts(bench.arrive(route)):
            bench.now += seconds / max(1, len(route.services))
            bench.answer(start)
