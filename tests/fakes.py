"""Fakes of the clock, the network, disks and searchers."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from itertools import count

import attrs

from greengagemoor.backends import BackendServer, HeldVersion, ServerState
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.join_messages import SeedsChanged
from greengagemoor.control.messages import (
    Persist,
    Persisted,
    Received,
    Recovered,
    Send,
)
from greengagemoor.control.state import Timing as ControlTiming
from greengagemoor.membership.decider import MembershipDecider
from greengagemoor.membership.rows import InstanceRow, InstanceState
from greengagemoor.membership.state import Timing as MembershipTiming
from greengagemoor.node import Node, StartUp
from greengagemoor.query import messages as q
from greengagemoor.query.decider import QueryDecider

NETWORK_S = 0.001
SYNC_S = 0.002
DOCUMENT = """{"entries": ["e1", "e2", "e3"], "services": [{"name": "s",
"backend_servers": [{"name": "a"}, {"name": "b"}, {"name": "c"}],
"request_classes": [{"name": "read"}, {"name": "book", "repeatable": false,
"default_deadline_s": 3}]}]}"""


def server(
    name: str,
    shards=(0, 1),
    *,
    version: int = 1,
    shard_count: int = 2,
    state: ServerState = ServerState.READY,
    **fields,
) -> BackendServer:
    """Returns the announcement of a searcher of service ``s``."""
    defaults = {
        "incarnation": 1,
        "sequence": 1,
        "address": "127.0.0.1:1",
        "data_centre": "dc1",
        "service": "s",
        "slots": 4,
        "connection_cap": 40,
    }
    return BackendServer(
        name=name,
        state=state,
        versions=(HeldVersion(version, shard_count, tuple(shards)),),
        **{**defaults, **fields},
    )


def answer_to(msg: q.StartAttempt, **changes) -> q.AttemptAnswer:
    """Returns a searcher's correct answer to an attempt."""
    fields = {
        "attempt_id": msg.attempt_id,
        "request_id": msg.request_id,
        "snapshot": msg.snapshot,
        "results": tuple(
            q.ShardResult(s, f'"{msg.server}/v{msg.snapshot}/{s}"')
            for s in msg.shards
        ),
    }
    return q.AttemptAnswer(**{**fields, **changes})


def of_kind(out: list, kind: type) -> list:
    """Returns the messages of a class."""
    return [msg for msg in out if isinstance(msg, kind)]


@attrs.define
class FakeDisk:
    """Content of a disk; data that is not synced is lost in a crash."""

    identity: str
    founders: dict[str, str] | None = None
    synced: list[Persist] = attrs.field(factory=list)

    def recovered(self) -> Recovered:
        """Returns what an instance reads at its start."""
        hard, snapshot, entries = None, None, []
        for operation in self.synced:
            hard = operation.hard or hard
            if operation.snapshot is not None:
                snapshot, entries = operation.snapshot, []
            base = snapshot.index if snapshot else 0
            for entry in operation.entries:
                del entries[max(0, entry.index - base - 1) :]
                entries.append(entry)
        return Recovered(hard, snapshot, tuple(entries))


class FakeFleet:
    """Instances with a fake clock and a network that can be partitioned.

    Events run in order of time, those of the same time in order of creation.
    The fleet only delivers messages; all decisions are the instances' own.

    Attributes:
        cut: pairs of sender and receiver between which messages are dropped.
        drop_share: share of messages that are dropped.
        double_share: share of messages that are delivered twice.
        loses: predicate of messages to drop, or None.
        founds_once: whether only the first start of an instance takes the
            founders from its settings.
        jitter: bound on the random extra delay of a message, in seconds.
        out: all output messages as (time, instance, message).
    """

    def __init__(self, seed: int = 1, pace: float = 1.0):
        """Makes a fleet without instances.

        Args:
            seed: seed of dropped, doubled and delayed messages.
            pace: factor on all intervals; above 1 for tests over hours.
        """
        self.pace = pace
        self.now = 0.0
        self.rng = random.Random(seed)
        self.nodes: dict[str, Node] = {}
        self.disks: dict[str, FakeDisk] = {}
        self.frozen: dict[str, list] = {}
        self.cut: set[tuple[str, str]] = set()
        self.drop_share = 0.0
        self.double_share = 0.0
        self.loses = None
        self.founds_once = False
        self.jitter = 0.0
        self.out: list[tuple[float, str, object]] = []
        self.attempts: list[tuple[str, q.StartAttempt]] = []
        self.searchers: dict[str, object] = {}
        self.sent: Counter = Counter()
        self._events: list[tuple[float, int, str, int, object]] = []
        self._ids = count()
        self._generations: dict[str, int] = {}
        self._wake_times: dict[str, float] = {}
        self._configs: dict[str, dict] = {}
        self._identities = count(1)

    def add(
        self, name: str, roles: tuple[str, ...], group=(), dc: str = "dc1"
    ) -> None:
        """Adds and starts an instance; control instances keep their disk."""
        self._configs[name] = {"roles": roles, "group": group, "dc": dc}
        self.start(name)

    def start(self, name: str) -> None:
        """Starts or restarts an instance."""
        cfg = self._configs[name]
        self._generations[name] = self._generations.get(name, 0) + 1
        self._wake_times.pop(name, None)
        group = {n: f"{n}:1" for n in cfg["group"]}
        own_row = InstanceRow(
            name=name,
            incarnation=int(self.now * 1000) + 1,
            sequence=0,
            state=InstanceState.STARTING,
            peer_address=f"{name}:1",
            http_address=f"{name}:80",
            data_centre=cfg["dc"],
            region="r1",
            roles=cfg["roles"],
        )
        rng = random.Random(f"{name}{self._generations[name]}")
        control = None
        if "control" in cfg["roles"]:
            others = {n: a for n, a in group.items() if n != name}
            has_founders = name in group
            if self.founds_once and self._generations[name] > 1:
                has_founders = False
            founders = others if has_founders else None
            disk = self.disks.setdefault(
                name, FakeDisk(f"d{next(self._identities)}", founders)
            )
            control = ControlDecider(
                f"{name}#{disk.identity}",
                f"{name}:1",
                others,
                rng,
                ControlTiming(0.15 * self.pace, 1.0 * self.pace),
                founders=founders if has_founders else disk.founders,
            )
        entry = "entry" in cfg["roles"]
        self.nodes[name] = Node(
            MembershipDecider(
                own_row, group, rng, MembershipTiming(interval=0.5 * self.pace)
            ),
            rng,
            query_decider=QueryDecider(cfg["dc"], rng) if entry else None,
            control_decider=control,
            control_targets=cfg["group"],
        )
        self.put(name, StartUp())
        if control is not None:
            self.put(name, self.disks[name].recovered())

    def reseed(self, name: str, group) -> None:
        """Changes the seeds of an instance, running or not."""
        self._configs[name]["group"] = group
        seeds = {n: f"{n}:1" for n in group}
        if name in self.nodes:
            self.put(name, SeedsChanged(seeds))

    def kill(self, name: str) -> None:
        """Kills an instance; data that is not synced is lost."""
        self._generations[name] += 1
        self.nodes.pop(name, None)
        self.frozen.pop(name, None)

    def lose_disk(self, name: str) -> None:
        """Removes an instance's disk; the next start makes a new identity."""
        self.disks.pop(name, None)

    def freeze(self, name: str) -> None:
        """Stops an instance like SIGSTOP: messages to it are queued."""
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        """Resumes a frozen instance and delivers the queued messages."""
        for msg in self.frozen.pop(name):
            self.put(name, msg)
        self._wake_times[name] = self.now
        self.put(name)

    def cut_off(self, name: str, *, one_way: bool = False) -> None:
        """Partitions an instance from all others."""
        for other in self._configs:
            self.cut.add((name, other))
            if not one_way:
                self.cut.add((other, name))

    def heal(self) -> None:
        """Removes all partitions."""
        self.cut.clear()

    def put(self, name: str, *msgs: object, after: float = 0.0) -> None:
        """Delivers messages to an instance after a delay in seconds."""
        event = (self.now + after, next(self._ids), name)
        heapq.heappush(self._events, (*event, self._generations[name], msgs))

    def run(self, seconds: float) -> None:
        """Runs all events of the given time."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, name, generation, msgs = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if (
                generation != self._generations.get(name)
                or name not in self.nodes
            ):
                continue
            if not msgs:
                if self._wake_times.get(name) != at:
                    continue
                del self._wake_times[name]
            self._deliver(name, msgs)
        self.now = until

    def run_until(self, condition, most: float = 60.0) -> float:
        """Runs until a condition holds; returns the fake time that it took."""
        start = self.now
        while not condition():
            assert self.now - start < most, "condition not met in time"
            self.run(0.01)
        return self.now - start

    def _deliver(self, name: str, msgs: tuple) -> None:
        msgs = tuple(self._complete_sync(name, msg) for msg in msgs)
        if name in self.frozen:
            self.frozen[name].extend(msgs)
            return
        node = self.nodes[name]
        for msg in node.step(self.now, msgs):
            self._handle_output(name, msg)
        wake = max(node.next_wake(), self.now + 0.0005)
        if wake < self._wake_times.get(name, float("inf")):
            self._wake_times[name] = wake
            event = (wake, next(self._ids), name, self._generations[name], ())
            heapq.heappush(self._events, event)

    def _handle_output(self, name: str, msg: object) -> None:
        self.out.append((self.now, name, msg))
        if isinstance(msg, Send):
            lost = self.rng.random() < self.drop_share
            lost = lost or (self.loses is not None and self.loses(msg))
            reachable = (
                msg.to in self._generations and (name, msg.to) not in self.cut
            )
            if reachable and not lost:
                self._transmit(name, msg)
        elif isinstance(msg, Persist):
            self.put(name, _SyncDone(msg), after=SYNC_S)
        elif isinstance(msg, q.StartAttempt):
            self.attempts.append((name, msg))
            searcher = self.searchers.get(msg.server)
            if searcher is not None:
                delay, reply = searcher(msg)
                if reply is not None:
                    self.put(name, reply, after=delay)

    def _complete_sync(self, name: str, msg: object) -> object:
        if not isinstance(msg, _SyncDone):
            return msg
        self.disks[name].synced.append(msg.operation)
        return Persisted(msg.operation.op)

    def _transmit(self, name: str, msg: Send) -> None:
        self.sent[type(msg.payload)] += 1
        copies = 1 + (self.rng.random() < self.double_share)
        for _ in range(copies):
            delay = NETWORK_S + self.jitter * self.rng.random()
            received = Received(name, msg.payload, f"{name}:1")
            self.put(msg.to, received, after=delay)

    def replies(self, kind: type = q.Reply) -> list:
        """Returns all output messages of a class so far."""
        return of_kind([msg for _, _, msg in self.out], kind)

    def leader(self) -> str:
        """Returns the name of the running leader, '' if there is none."""
        names = [
            name
            for name, node in self.nodes.items()
            if node.control
            and name not in self.frozen
            and node.control.state.role.value == "leader"
        ]
        return names[-1] if names else ""


@attrs.frozen
class _SyncDone:
    operation: Persist
