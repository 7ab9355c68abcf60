"""Simulation of query deciders for the policy benchmark."""

from __future__ import annotations

import heapq
import json
import random
from itertools import count
from typing import TYPE_CHECKING

import attrs

from bench.searchers import Job, SimulatedSearcher, mean_work_s
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
CONNECTION_PLACES = 10
SHARDS = 6
SAME_DATA_CENTRE_DELAY_S = 0.00025
REQUEST_CLASS = "read"
SPIKE_S = (3.0, 6.0)
"""Start and end of a load spike."""
SPIKING_CALLER = "c0"


@attrs.frozen
class ServiceKind:
    """A kind of service to simulate; times in seconds.

    Attributes:
        far_s: one-way delay between data centres.
    """

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
        """Queries per second that all slots can process.

        Assumes that each query uses the fewest searchers that hold all shards.
        """
        shards_each = SHARDS / covering_searchers(self.searchers)
        work = covering_searchers(self.searchers) * mean_work_s(shards_each)
        return self.searchers * self.slots / work


def covering_searchers(searchers: int) -> int:
    """Returns the fewest searchers that hold all shards, each on two."""
    return max(1, (searchers + 1) // 2)


@attrs.frozen
class Policy:
    """A policy of the comparison.

    Attributes:
        service: settings of the service that differ from the default.
        request_class: settings of the request class that differ.
        shares_cap: whether each entry keeps to its share of a connection cap.
        steered: whether callers use the two entries preferred for the service.
    """

    name: str
    service: dict = attrs.field(factory=dict)
    request_class: dict = attrs.field(factory=dict)
    shares_cap: bool = True
    steered: bool = True


@attrs.define
class Outcome:
    """Results of a run, as callers see them.

    Attributes:
        latencies: seconds of each whole or partial answer.
        coverage: sum of the coverage of these answers.
        late: requests without an answer in time, or failed ones.
        wrong: answers that mix versions or claim results they lack.
        whole_in_spike: whole answers during the spike.
        others_sent, others_whole: requests of the callers without a spike that
            were sent during the spike, and whole answers to them.
    """

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
    """Simulates entries, searchers and callers on an event heap."""

    def __init__(self, kind: ServiceKind, policy: Policy, seed: int):
        self.kind = kind
        self.policy = policy
        self.now = 0.0
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self._events: list[tuple] = []
        self._ids = count(1)
        self._requests: dict[int, tuple[Request, float]] = {}
        self._wake_times: dict[int, float] = {}
        self.version = 1
        self.document = self._make_document()
        self.searchers = [self._make_searcher(i) for i in range(kind.searchers)]
        self.entries = [self._make_entry(i) for i in range(ENTRIES)]
        self._sequence = 1
        for searcher in self.searchers:
            self.announce(searcher)

    def _make_document(self):
        cls = {
            "name": REQUEST_CLASS,
            "default_deadline_s": self.kind.deadline_s,
            **self.policy.request_class,
        }
        names = [f"s{i}" for i in range(self.kind.searchers)]
        text = {
            "entries": [f"e{i}" for i in range(ENTRIES)],
            "connection_places": CONNECTION_PLACES,
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

    def _make_searcher(self, index: int) -> SimulatedSearcher:
        return SimulatedSearcher(
            name=f"s{index}",
            slots=self.kind.slots,
            connect_cost_s=self.kind.connect_cost_s,
            data_centre=f"dc{index % self.kind.data_centres}",
            rng=random.Random(self.rng.getrandbits(32)),
            versions={1: (SHARDS, self.held_shards(index, SHARDS))},
        )

    def held_shards(self, index: int, shard_count: int) -> tuple[int, ...]:
        """Returns the shards of a searcher; two searchers hold each shard."""
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

    def announce(self, searcher: SimulatedSearcher, **changes) -> None:
        """Sends the row of a searcher to every entry."""
        self._sequence += 1
        share = self.kind.connection_cap // CONNECTION_PLACES
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
        share = share if self.policy.shares_cap else 10**6
        for index in range(ENTRIES):
            self.at(self.now, self.step, index, ServerChanged(row, share))

    def withdraw(self, searcher: SimulatedSearcher) -> None:
        """Notifies every entry that a searcher is gone."""
        for index in range(ENTRIES):
            gone = ServerGone(searcher.name, "s")
            self.at(self.now, self.step, index, gone)

    def at(self, time: float, call: Callable, *args) -> None:
        """Schedules a call at a time."""
        heapq.heappush(self._events, (time, next(self._ids), call, args))

    def run(self, until: float) -> None:
        """Runs the simulation up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until

    def send_request(self, caller: str, body: str) -> None:
        """Sends a request of a caller to one of its entries."""
        token = next(self._ids)
        request = Request(token, caller, REQUEST_CLASS, f"r{token}", "s")
        request = attrs.evolve(request, body=body)
        self._requests[token] = (request, self.now)
        self.outcome.sent += 1
        self.at(self.now, self.step, self._select_entry(), request)

    def _select_entry(self) -> int:
        if not self.policy.steered:
            return self.rng.randrange(ENTRIES)
        ranked = sorted(
            range(ENTRIES),
            key=lambda i: rendezvous_weight("s", f"e{i}"),
            reverse=True,
        )
        return self.rng.choice(ranked[:2])

    def step(self, index: int, *msgs: object) -> None:
        """Steps an entry and handles its output."""
        entry = self.entries[index]
        for msg in entry.step(self.now, msgs):
            if isinstance(msg, StartAttempt):
                self._start_attempt(index, msg)
            elif isinstance(msg, CancelAttempt):
                searcher = self._searcher(msg.server)
                at = self.now + self._delay_s(index, searcher)
                self.at(at, searcher.cancel, self, index, msg.attempt_id)
            elif isinstance(msg, Reply):
                self._record_reply(msg)
        self._set_wake(index, entry)

    def _set_wake(self, index: int, entry: QueryDecider) -> None:
        wake = entry.next_wake()
        if wake is None or self._wake_times.get(index, float("inf")) <= wake:
            return
        self._wake_times[index] = wake
        self.at(max(wake, self.now), self._run_wake, index)

    def _run_wake(self, index: int) -> None:
        self._wake_times.pop(index, None)
        self.step(index)

    def _searcher(self, name: str) -> SimulatedSearcher:
        return self.searchers[int(name[1:])]

    def _delay_s(self, index: int, searcher: SimulatedSearcher) -> float:
        same_data_centre = (
            searcher.data_centre == self.entries[index].state.data_centre
        )
        return SAME_DATA_CENTRE_DELAY_S if same_data_centre else self.kind.far_s

    def _start_attempt(self, index: int, msg: StartAttempt) -> None:
        searcher = self._searcher(msg.server)
        delay = searcher.open_connection(index) + self._delay_s(index, searcher)
        job = Job(index, msg)
        searcher.jobs[(index, msg.attempt_id)] = job
        self.at(self.now + delay, searcher.receive, self, job)

    def deliver_answer(
        self, searcher: SimulatedSearcher, index: int, answer: object
    ) -> None:
        """Schedules the delivery of a searcher's answer to an entry."""
        at = self.now + self._delay_s(index, searcher)
        self.at(at, self._receive_answer, searcher, index, answer)

    def _receive_answer(
        self, searcher: SimulatedSearcher, index: int, answer: object
    ) -> None:
        searcher.used_connections[index] -= 1
        self.step(index, answer)

    def _record_reply(self, msg: Reply) -> None:
        request, sent_at = self._requests.pop(msg.token)
        outcome = self.outcome
        answer = msg.answer
        latency_s = self.now - sent_at
        if answer.code in (Code.WHOLE, Code.PARTIAL):
            outcome.latencies.append(latency_s)
            outcome.answered += 1
            outcome.whole += answer.code is Code.WHOLE
            outcome.coverage += (
                len(answer.coverage.reflected) / answer.coverage.shards
            )
        elif Code.NOT_RUN_OVERLOAD <= answer.code < Code.FAILED:
            outcome.refused += 1
        else:
            outcome.late += 1
        self._record_spike(request, answer.code is Code.WHOLE, sent_at)
        outcome.wrong += self._is_wrong(request, msg)

    def _record_spike(
        self, request: Request, whole: bool, sent_at: float
    ) -> None:
        """Counts answers during the spike, and those of other callers."""
        start, end = SPIKE_S
        self.outcome.whole_in_spike += whole and start <= self.now < end
        if start <= sent_at < end and request.caller != SPIKING_CALLER:
            self.outcome.others_sent += 1
            self.outcome.others_whole += whole

    def _is_wrong(self, request: Request, msg: Reply) -> bool:
        """Whether an answer mixes versions or claims results it lacks.

        A joined request gets the results of an equal one, so the request id in
        a value may differ; version and shard must match the answer.
        """
        answer = msg.answer
        given = {
            (result.shard, tuple(result.value.split("/")[1:]))
            for result in answer.results
        }
        expected = {
            (shard, (str(answer.snapshot), str(shard)))
            for shard in answer.coverage.reflected
        }
        withheld = not answer.results and answer.code not in (
            Code.WHOLE,
            Code.PARTIAL,
        )
        wrong_id = answer.request_id != request.request_id
        return wrong_id or (given != expected and not withheld)
