"""Small fakes at the interfaces: clock, network, disks and searchers."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from itertools import count

import attrs

from greengagemoor.backends import BackendServer, HeldVersion, ServerState
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.joinmessages import SeedsChanged
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
    """Returns an announcement of one searcher of service ``s``."""
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
    """Returns a searcher's true answer to an attempt."""
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
    """Returns the messages of one kind."""
    return [msg for msg in out if isinstance(msg, kind)]


@attrs.define
class FakeDisk:
    """What a disk holds; what is not synced is lost in a crash."""

    identity: str
    founders: dict[str, str] | None = None
    synced: list[Persist] = attrs.field(factory=list)

    def recovered(self) -> Recovered:
        """Returns what a start would read."""
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
    """Nodes under one fake clock, with a network that can be cut.

    Events run in order of time; equal times in order of making. Nothing here
    decides anything: it only carries messages.
    """

    def __init__(self, seed: int = 1, pace: float = 1.0):
        """Starts empty.

        Args:
            seed: of drops.
            pace: factor on all intervals; above 1 for hours of fake time.
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
        self._lives: dict[str, int] = {}
        self._wakes: dict[str, float] = {}
        self._configs: dict[str, dict] = {}
        self._identities = count(1)

    def add(
        self, name: str, roles: tuple[str, ...], group=(), dc: str = "dc1"
    ) -> None:
        """Starts a node; control nodes keep their disk over restarts."""
        self._configs[name] = {"roles": roles, "group": group, "dc": dc}
        self.start(name)

    def start(self, name: str) -> None:
        """Starts or restarts a node."""
        cfg = self._configs[name]
        self._lives[name] = self._lives.get(name, 0) + 1
        self._wakes.pop(name, None)
        group = {n: f"{n}:1" for n in cfg["group"]}
        me = InstanceRow(
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
        rng = random.Random(f"{name}{self._lives[name]}")
        control = None
        if "control" in cfg["roles"]:
            others = {n: a for n, a in group.items() if n != name}
            told = name in group
            if self.founds_once and self._lives[name] > 1:
                told = False
            founders = others if told else None
            disk = self.disks.setdefault(
                name, FakeDisk(f"d{next(self._identities)}", founders)
            )
            control = ControlDecider(
                f"{name}#{disk.identity}",
                f"{name}:1",
                others,
                rng,
                ControlTiming(0.15 * self.pace, 1.0 * self.pace),
                founders=founders if told else disk.founders,
            )
        entry = "entry" in cfg["roles"]
        self.nodes[name] = Node(
            MembershipDecider(
                me, group, rng, MembershipTiming(interval=0.5 * self.pace)
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
        """Changes the settings of a node, while it runs or before a start."""
        self._configs[name]["group"] = group
        seeds = {n: f"{n}:1" for n in group}
        if name in self.nodes:
            self.put(name, SeedsChanged(seeds))

    def kill(self, name: str) -> None:
        """Ends a node; what it had not synced is lost."""
        self._lives[name] += 1
        self.nodes.pop(name, None)
        self.frozen.pop(name, None)

    def lose_disk(self, name: str) -> None:
        """Removes a node's disk; the next start makes a new identity."""
        self.disks.pop(name, None)

    def freeze(self, name: str) -> None:
        """Stops a node like SIGSTOP: what comes waits in its sockets."""
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        """Lets a frozen node go on."""
        for msg in self.frozen.pop(name):
            self.put(name, msg)
        self._wakes[name] = self.now
        self.put(name)

    def cut_off(self, name: str, *, one_way: bool = False) -> None:
        """Cuts a node off from all others."""
        for other in self._configs:
            self.cut.add((name, other))
            if not one_way:
                self.cut.add((other, name))

    def heal(self) -> None:
        """Removes all cuts."""
        self.cut.clear()

    def put(self, name: str, *msgs: object, after: float = 0.0) -> None:
        """Hands messages to a node after a time."""
        event = (self.now + after, next(self._ids), name)
        heapq.heappush(self._events, (*event, self._lives[name], msgs))

    def run(self, seconds: float) -> None:
        """Runs all events of the next seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, name, life, msgs = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if life != self._lives.get(name) or name not in self.nodes:
                continue
            if not msgs:
                if self._wakes.get(name) != at:
                    continue
                del self._wakes[name]
            self._deliver(name, msgs)
        self.now = until

    def run_until(self, condition, most: float = 60.0) -> float:
        """Runs until a condition holds; returns how long that took."""
        start = self.now
        while not condition():
            assert self.now - start < most, "waited too long"
            self.run(0.01)
        return self.now - start

    def _deliver(self, name: str, msgs: tuple) -> None:
        msgs = tuple(self._sync(name, msg) for msg in msgs)
        if name in self.frozen:
            self.frozen[name].extend(msgs)
            return
        node = self.nodes[name]
        for msg in node.step(self.now, msgs):
            self._act(name, msg)
        wake = max(node.next_wake(), self.now + 0.0005)
        if wake < self._wakes.get(name, float("inf")):
            self._wakes[name] = wake
            event = (wake, next(self._ids), name, self._lives[name], ())
            heapq.heappush(self._events, event)

    def _act(self, name: str, msg: object) -> None:
        self.out.append((self.now, name, msg))
        if isinstance(msg, Send):
            lost = self.rng.random() < self.drop_share
            lost = lost or (self.loses is not None and self.loses(msg))
            reachable = msg.to in self._lives and (name, msg.to) not in self.cut
            if reachable and not lost:
                self._carry(name, msg)
        elif isinstance(msg, Persist):
            self.put(name, _Sync(msg), after=SYNC_S)
        elif isinstance(msg, q.StartAttempt):
            self.attempts.append((name, msg))
            searcher = self.searchers.get(msg.server)
            if searcher is not None:
                delay, reply = searcher(msg)
                if reply is not None:
                    self.put(name, reply, after=delay)

    def _sync(self, name: str, msg: object) -> object:
        if not isinstance(msg, _Sync):
            return msg
        self.disks[name].synced.append(msg.operation)
        return Persisted(msg.operation.op)

    def _carry(self, name: str, msg: Send) -> None:
        self.sent[type(msg.payload)] += 1
        copies = 1 + (self.rng.random() < self.double_share)
        for _ in range(copies):
            delay = NETWORK_S + self.jitter * self.rng.random()
            received = Received(name, msg.payload, f"{name}:1")
            self.put(msg.to, received, after=delay)

    def replies(self, kind: type = q.Reply) -> list:
        """Returns all messages of a kind sent so far."""
        return of_kind([msg for _, _, msg in self.out], kind)

    def leader(self) -> str:
        """Returns the one live leader's name, '' if there is none."""
        names = [
            name
            for name, node in self.nodes.items()
            if node.control
            and name not in self.frozen
            and node.control.state.role.value == "leader"
        ]
        return names[-1] if names else ""


@attrs.frozen
class _Sync:
    operation: Persist
