"""The policy bench: query deciders over a seeded event heap."""

from __future__ import annotations

import heapq
import json
import random
from itertools import count
from typing import TYPE_CHECKING

import attrs

from bench.searchers import Job, StandIn, mean_work
from greengagemoor.backends import BackendServer, HeldVersion, ServerState
from greengagemoor.codes import Code
from greengagemoor.document import parse_document
from greengagemoor.membership.rows import rendezvous_weight
from greengagemoor.query.decider import QueryDecider
from greengagemoor.query.messages import (
    CancelAttempt,
    DocumentChanged,
    Reply,
    Request,
    ServerChanged,
    ServerGone,
    StartAttempt,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRIES = 8
PLACES = 10
SHARDS = 6
NEAR_S = 0.00025
CALLER_CLASS = "read"
SPIKE = (3.0, 6.0)
SPIKING_CALLER = "c0"


@attrs.frozen
class Kind:
    """A kind of service of the brief; times in seconds."""

    name: str
    searchers: int
    slots: int
    connection_cap: int
    connect_cost_s: float
    far_s: float
    data_centres: int
    deadline_s: float

    @property
    def capacity(self) -> float:
        """Queries a second that the slots can work off at the best cover."""
        shards_each = SHARDS / covering(self.searchers)
        work = covering(self.searchers) * mean_work(shards_each)
        return self.searchers * self.slots / work


def covering(searchers: int) -> int:
    """Returns how many searchers hold all shards, each shard on two."""
    return max(1, (searchers + 1) // 2)


@attrs.frozen
class Policy:
    """A row of the comparison: fields of service and request class."""

    name: str
    service: dict = attrs.field(factory=dict)
    request_class: dict = attrs.field(factory=dict)
    shares: bool = True
    steered: bool = True


@attrs.define
class Outcome:
    """What callers got."""

    latencies: list[float] = attrs.field(factory=list)
    coverage: float = 0.0
    answered: int = 0
    whole: int = 0
    sent: int = 0
    refused: int = 0
    late: int = 0
    wrong: int = 0
    whole_in_spike: int = 0
    others_sent: int = 0
    others_whole: int = 0


class Bench:
    """Entries, searchers, callers and the time that passes between them."""

    def __init__(self, kind: Kind, policy: Policy, seed: int):
        self.kind = kind
        self.policy = policy
        self.now = 0.0
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self._events: list[tuple] = []
        self._ids = count(1)
        self._asked: dict[int, tuple[Request, float]] = {}
        self._wakes: dict[int, float] = {}
        self.version = 1
        self.document = self._make_document()
        self.searchers = [self._make_searcher(i) for i in range(kind.searchers)]
        self.entries = [self._make_entry(i) for i in range(ENTRIES)]
        self._sequence = 1
        for searcher in self.searchers:
            self.announce(searcher)

    def _make_document(self):
        cls = {
            "name": CALLER_CLASS,
            "default_deadline_s": self.kind.deadline_s,
            **self.policy.request_class,
        }
        names = [f"s{i}" for i in range(self.kind.searchers)]
        text = {
            "entries": [f"e{i}" for i in range(ENTRIES)],
            "connection_places": PLACES,
            "services": [
                {
                    "name": "s",
                    "backend_servers": [
                        {
                            "name": name,
                            "connection_cap": self.kind.connection_cap,
                            "slots": self.kind.slots,
                        }
                        for name in names
                    ],
                    "request_classes": [cls],
                    **self.policy.service,
                }
            ],
        }
        return parse_document(json.dumps(text))

    def _make_searcher(self, index: int) -> StandIn:
        return StandIn(
            name=f"s{index}",
            slots=self.kind.slots,
            connect_cost_s=self.kind.connect_cost_s,
            data_centre=f"dc{index % self.kind.data_centres}",
            rng=random.Random(self.rng.getrandbits(32)),
            versions={1: (SHARDS, self.held(index, SHARDS))},
        )

    def held(self, index: int, shard_count: int) -> tuple[int, ...]:
        """Returns the shards of one searcher; each shard is held twice."""
        total = self.kind.searchers
        return tuple(
            s
            for s in range(shard_count)
            if index in (s % total, (s + 1) % total)
        )

    def _make_entry(self, index: int) -> QueryDecider:
        entry = QueryDecider(
            f"dc{index % self.kind.data_centres}",
            random.Random(self.rng.getrandbits(32)),
        )
        entry.step(0.0, [DocumentChanged(1, self.document)])
        return entry

    def announce(self, searcher: StandIn, **changes) -> None:
        """Tells every entry of a searcher."""
        self._sequence += 1
        share = self.kind.connection_cap // PLACES
        row = BackendServer(
            name=searcher.name,
            incarnation=1,
            sequence=self._sequence,
            address="127.0.0.1:1",
            data_centre=searcher.data_centre,
            service="s",
            state=changes.pop("state", ServerState.READY),
            versions=tuple(
                HeldVersion(version, shard_count, shards)
                for version, (shard_count, shards) in searcher.versions.items()
            ),
            slots=self.kind.slots,
            connection_cap=self.kind.connection_cap,
            connect_cost_s=self.kind.connect_cost_s,
            **changes,
        )
        share = share if self.policy.shares else 10**6
        for index in range(ENTRIES):
            self.at(self.now, self.step, index, ServerChanged(row, share))

    def withdraw(self, searcher: StandIn) -> None:
        """Tells every entry that a searcher is gone."""
        for index in range(ENTRIES):
            gone = ServerGone(searcher.name, "s")
            self.at(self.now, self.step, index, gone)

    def at(self, time: float, call: Callable, *args) -> None:
        """Calls something at a time."""
        heapq.heappush(self._events, (time, next(self._ids), call, args))

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until

    def ask(self, caller: str, body: str) -> None:
        """Sends one request of a caller to an entry it was told."""
        token = next(self._ids)
        request = Request(token, caller, CALLER_CLASS, f"r{token}", "s")
        request = attrs.evolve(request, body=body)
        self._asked[token] = (request, self.now)
        self.outcome.sent += 1
        self.at(self.now, self.step, self._entry_for(), request)

    def _entry_for(self) -> int:
        if not self.policy.steered:
            return self.rng.randrange(ENTRIES)
        ranked = sorted(
            range(ENTRIES),
            key=lambda i: rendezvous_weight("s", f"e{i}"),
            reverse=True,
        )
        return self.rng.choice(ranked[:2])

    def step(self, index: int, *msgs: object) -> None:
        """Runs one tick of an entry and acts on what comes out."""
        entry = self.entries[index]
        for msg in entry.step(self.now, msgs):
            if isinstance(msg, StartAttempt):
                self._start(index, msg)
            elif isinstance(msg, CancelAttempt):
                searcher = self._searcher(msg.server)
                at = self.now + self._distance(index, searcher)
                self.at(at, searcher.cancel, self, index, msg.attempt_id)
            elif isinstance(msg, Reply):
                self._count(msg)
        self._set_wake(index, entry)

    def _set_wake(self, index: int, entry: QueryDecider) -> None:
        wake = entry.next_wake()
        if wake is None or self._wakes.get(index, float("inf")) <= wake:
            return
        self._wakes[index] = wake
        self.at(max(wake, self.now), self._wake, index)

    def _wake(self, index: int) -> None:
        self._wakes.pop(index, None)
        self.step(index)

    def _searcher(self, name: str) -> StandIn:
        return self.searchers[int(name[1:])]

    def _distance(self, index: int, searcher: StandIn) -> float:
        near = searcher.data_centre == self.entries[index].state.home
        return NEAR_S if near else self.kind.far_s

    def _start(self, index: int, msg: StartAttempt) -> None:
        searcher = self._searcher(msg.server)
        delay = searcher.connect(index) + self._distance(index, searcher)
        job = Job(index, msg)
        searcher.jobs[(index, msg.attempt_id)] = job
        self.at(self.now + delay, searcher.take, self, job)

    def send_back(self, searcher: StandIn, index: int, answer: object) -> None:
        """Carries a searcher's answer to the entry."""
        at = self.now + self._distance(index, searcher)
        self.at(at, self._receive, searcher, index, answer)

    def _receive(self, searcher: StandIn, index: int, answer: object) -> None:
        searcher.busy[index] -= 1
        self.step(index, answer)

    def _count(self, msg: Reply) -> None:
        request, asked_at = self._asked.pop(msg.token)
        outcome = self.outcome
        answer = msg.answer
        taken = self.now - asked_at
        if answer.code in (Code.WHOLE, Code.PARTIAL):
            outcome.latencies.append(taken)
            outcome.answered += 1
            outcome.whole += answer.code is Code.WHOLE
            outcome.coverage += (
                len(answer.coverage.reflected) / answer.coverage.shards
            )
        elif Code.NOT_RUN_OVERLOAD <= answer.code < Code.FAILED:
            outcome.refused += 1
        else:
            outcome.late += 1
        self._count_spike(request, answer.code is Code.WHOLE, asked_at)
        outcome.wrong += self._is_wrong(request, msg)

    def _count_spike(
        self, request: Request, whole: bool, asked_at: float
    ) -> None:
        """Counts what happens while a spike lasts, and to the other callers."""
        start, end = SPIKE
        self.outcome.whole_in_spike += whole and start <= self.now < end
        if start <= asked_at < end and request.caller != SPIKING_CALLER:
            self.outcome.others_sent += 1
            self.outcome.others_whole += whole

    def _is_wrong(self, request: Request, msg: Reply) -> bool:
        """Whether an answer mixes versions or claims what it lacks.

        Joined requests get the results of an equal one, so the request id in
        a value may be another's; version and shard must be the answer's own.
        """
        answer = msg.answer
        told = {
            (result.shard, tuple(result.value.split("/")[1:]))
            for result in answer.results
        }
        true = {
            (shard, (str(answer.snapshot), str(shard)))
            for shard in answer.coverage.reflected
        }
        withheld = not answer.results and answer.code not in (
            Code.WHOLE,
            Code.PARTIAL,
        )
        wrong_id = answer.request_id != request.request_id
        return wrong_id or (told != true and not withheld)
