"""Measures costs of the control group and of documents (``make slopes``)."""

from __future__ import annotations

import json
import random
import tempfile
import time
import tracemalloc
import zlib
from pathlib import Path

from bench.linear_fit import print_fit
from greengagemoor.control.commands import ApplyDocument, Claim
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.ledger import Ledger
from greengagemoor.control.messages import (
    OpKind,
    OpRequest,
    Persist,
    Persisted,
    Received,
    Recovered,
    Send,
)
from greengagemoor.control.state import Role
from greengagemoor.document import parse_document
from greengagemoor.storage.folder import DataFolder
from greengagemoor.storage.store import Store
from greengagemoor.wire import codec


def make_document(services: int) -> str:
    """Returns a document with 52 searchers a service, 260 for every five."""
    cls = [{"name": "lookup"}, {"name": "book", "repeatable": False}]
    return json.dumps(
        {
            "entries": [f"entry-{i}" for i in range(200)],
            "connection_places": 200,
            "services": [
                {
                    "name": f"service-{s}",
                    "backend_servers": [
                        {
                            "name": f"searcher-{s}-{i}",
                            "connection_cap": 200,
                            "slots": 4,
                        }
                        for i in range(52)
                    ],
                    "request_classes": cls,
                }
                for s in range(services)
            ],
        }
    )


def measure_documents() -> None:
    """Measures document size and parsing time by number of searchers."""
    services = (10, 50, 100, 250)
    searchers = [52 * number for number in services]
    sizes, packed_sizes, times = [], [], []
    for number in services:
        text = make_document(number)
        start = time.process_time()
        parse_document(text)
        times.append(1000 * (time.process_time() - start))
        sizes.append(len(text))
        packed_sizes.append(len(zlib.compress(text.encode())))
    print_fit("document bytes by searchers", searchers, sizes, "B")
    print_fit("packed document by searchers", searchers, packed_sizes, "B")
    print_fit("document parsing by searchers", searchers, times, "ms")


class ControlGroupModel:
    """Three control deciders without a network; counts bytes and syncs."""

    def __init__(self):
        self.now = 0.0
        names = ("c1", "c2", "c3")
        self.members = {
            n: ControlDecider(
                f"{n}#x",
                f"{n}:1",
                {o: f"{o}:1" for o in names if o != n},
                random.Random(n),
                founders={o: f"{o}:1" for o in names if o != n},
            )
            for n in names
        }
        self.bytes = 0
        self.messages = 0
        self.syncs = 0
        self.queue: list[tuple[str, object]] = [
            (n, Recovered(None, None, ())) for n in names
        ]
        while len(self._voters()) < 3:
            self.tick()

    def _voters(self) -> list[str]:
        leader = self.leader()
        return self.members[leader].state.voters if leader else []

    def leader(self) -> str:
        """Returns the name of the leader, or '' if there is none."""
        leading = [
            n for n, d in self.members.items() if d.state.role.value == "leader"
        ]
        return leading[0] if leading else ""

    def tick(self, seconds: float = 0.01) -> None:
        """Advances the clock and steps each member with its messages."""
        self.now += seconds
        waiting, self.queue = self.queue, []
        for name, decider in self.members.items():
            msgs = [msg for to, msg in waiting if to == name]
            for msg in decider.step(self.now, msgs):
                self._handle_output(name, msg)

    def _handle_output(self, name: str, msg: object) -> None:
        if isinstance(msg, Persist):
            self.syncs += 1
            self.queue.append((name, Persisted(msg.op)))
        elif isinstance(msg, Send):
            batch = codec.to_batch(name, "10.0.0.1:9000", [msg.payload])
            self.bytes += batch.ByteSize()
            self.messages += 1
            self.queue.append((msg.to, Received(name, msg.payload)))

    def run_operations(self, requests: list[OpRequest]) -> int:
        """Sends operations to the leader.

        Returns the number of ticks until all members have applied them.
        """
        leader = self.leader()
        last = self.members[leader].state.log.last_index + len(requests)
        self.queue += [(leader, Received("asker", r)) for r in requests]
        ticks = 0
        while any(d.state.applied < last for d in self.members.values()):
            self.tick(0.001)
            ticks += 1
        return ticks


def make_claim(number: int, now: float) -> OpRequest:
    """Returns an operation that claims a new request."""
    command = Claim(
        "atlas", f"{int(now * 1000)}-{number}", f"e/{number}", now, 10.0, now
    )
    return OpRequest(number, OpKind.CLAIM, command)


def measure_control_group() -> None:
    """Measures the control group: idle, apply, claims and ledger."""
    group = ControlGroupModel()
    start, sent = time.process_time(), group.bytes
    for _ in range(2000):
        group.tick()
    seconds = 20.0
    print(
        f"control idle: {(group.bytes - sent) / seconds / 3:.0f} B/s and "
        f"{1e6 * (time.process_time() - start) / seconds / 3:.0f} us/s a member"
    )
    text = make_document(1)
    syncs, sent = group.syncs, group.bytes
    ticks = group.run_operations(
        [OpRequest(1, OpKind.APPLY, ApplyDocument("a", 0, text, 0.0))]
    )
    print(
        f"apply: in force on all members after {ticks} message steps, "
        f"{group.syncs - syncs} syncs, {group.bytes - sent} B sent for a "
        f"document of {len(text)} B"
    )
    counts = (200, 400, 800)
    times, sizes = [], []
    for count in counts:
        syncs, sent = group.syncs, group.bytes
        start = time.process_time()
        group.run_operations([make_claim(i, group.now) for i in range(count)])
        times.append(1e6 * (time.process_time() - start))
        sizes.append(group.bytes - sent)
    print(f"claims: {group.syncs - syncs} syncs for the last {counts[-1]}")
    print_fit("processor of claims, three members", counts, times, "us")
    print_fit("bytes of claims, three members", counts, sizes, "B")
    measure_ledger()


def measure_ledger() -> None:
    """Measures memory and snapshot of the ledger by number of ids."""
    counts = (2000, 4000, 8000)
    used, saved, times = [], [], []
    for count in counts:
        commands = [make_claim(i, 1000.0).command for i in range(count)]
        tracemalloc.start()
        table = Ledger()
        for command in commands:
            table.claim(command)
        used.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        start = time.process_time()
        saved.append(len(table.save()))
        times.append(1e6 * (time.process_time() - start))
    print_fit("ledger memory by ids", counts, used, "B")
    print_fit("ledger snapshot by ids", counts, saved, "B")
    print_fit("ledger snapshot time by ids", counts, times, "us")


def measure_restarts() -> None:
    """Measures restart time and data folder size by earlier changes."""
    counts = (125, 500, 2000)
    times, sizes = [], []
    for count in counts:
        with tempfile.TemporaryDirectory() as name:
            _apply_changes(Path(name), count)
            start = time.perf_counter()
            store = Store(DataFolder(name, "c1"))
            member = _make_single_member()
            member.step(1e6, [store.recover()])
            times.append(1000 * (time.perf_counter() - start))
            store.close()
            sizes.append(sum(f.stat().st_size for f in Path(name).iterdir()))
    print_fit("restart time by changes", counts, times, "ms")
    print_fit("data folder by changes", counts, sizes, "B")


def _make_single_member() -> ControlDecider:
    return ControlDecider("c1#x", "c1:1", {}, random.Random(1), founders={})


def _apply_changes(folder: Path, count: int) -> None:
    """Applies documents one by one in a single-member group, each synced."""
    store = Store(DataFolder(folder, "c1"))
    member = _make_single_member()
    now, version, msgs = 0.0, 0, [store.recover()]
    while member.state.machine.documents.version < count:
        now += 0.01
        out = member.step(now, msgs)
        writes = [msg for msg in out if isinstance(msg, Persist)]
        store.write(writes)
        msgs = [Persisted(msg.op) for msg in writes]
        done = member.state.machine.documents.version
        if member.state.role is Role.LEADER and done == version:
            version += 1
            command = ApplyDocument(f"a{version}", done, make_document(1), now)
            request = OpRequest(version, OpKind.APPLY, command)
            msgs.append(Received("operator", request))
    store.close()
