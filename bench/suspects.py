"""Measures the costs of tracking requests that crash searchers.

Run ``python -m bench.suspects``. Processor time varies with the machine;
compare ratios within one run.
"""

from __future__ import annotations

import time
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed.hub import FeedHub
from greengagemoor.feed.messages import (
    SearcherKey,
    Subscribe,
    Suspect,
    SuspectRows,
)
from greengagemoor.feed.suspects import Standing, SuspectTable
from greengagemoor.feed.timing import Timing
from greengagemoor.util.fingerprints import fingerprint
from greengagemoor.wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRIES = 200
SUSPECTS = 10_000
ROUNDS = 20_000
REQUEST_PARTS = (b"", b"GET", b"host.example", b"/prefix/record", b"")
SEARCHER_KEYS = tuple(
    SearcherKey(f"i-{i:010x}", 1_700_000_000_000) for i in range(3)
)


def _make_suspect(number: int) -> Suspect:
    return Suspect(
        number.to_bytes(16, "big"), ended=SEARCHER_KEYS, route="r-abcdefg"
    )


def _mean_us(call: Callable[[], object], rounds: int = ROUNDS) -> float:
    start = time.process_time()
    for _ in range(rounds):
        call()
    return 1e6 * (time.process_time() - start) / rounds


def print_request_cost() -> None:
    """Prints the processor time per request when no searcher crashes."""
    name = fingerprint(*REQUEST_PARTS)
    empty, full = SuspectTable(), SuspectTable()
    for number in range(SUSPECTS):
        full.join(_make_suspect(number))
    digest = _mean_us(partial(fingerprint, *REQUEST_PARTS))
    print(f"a request: digest {digest:.2f} us, ", end="")
    print(f"look-up {_mean_us(partial(empty.standing, name)):.2f} us, ", end="")
    print(f"in a full table {_mean_us(partial(full.standing, name)):.2f} us")


def print_table_size() -> None:
    """Prints memory and stored bytes of a table that is full of suspects."""
    tracemalloc.start()
    table = SuspectTable()
    for number in range(SUSPECTS):
        table.join(_make_suspect(number))
        table.join(
            Suspect(
                (SUSPECTS + number).to_bytes(16, "big"), ended=SEARCHER_KEYS[:1]
            )
        )
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    rows = SuspectRows(table.rows(*Standing))
    print(
        f"{2 * SUSPECTS} requests reported: {len(table)} rows kept, "
        f"{memory / 1e6:.2f} MB, {len(codec.encode(rows)) / 1e3:.0f} KB on disk"
    )


def print_distribution_cost() -> None:
    """Prints a control instance's cost of sending a suspect to all entries."""
    hub = FeedHub(Timing(1.0), "c1")
    for number in range(ENTRIES):
        name = f"e{number}"
        entry = Subscribe(name, f"10.0.0.{number}:80", "dc1", ready=True)
        hub.step(0.0, [Received(name, entry)])
    start = time.process_time()
    size = 0
    for number in range(100):
        report = Received("e0", SuspectRows((_make_suspect(number),)))
        for msg in hub.step(1.0, [report]):
            if isinstance(msg, Send):
                batch = codec.to_batch("c1", "", [msg.payload])
                size += len(batch.SerializeToString())
    mean_s = (time.process_time() - start) / 100
    print(
        f"one suspect to {ENTRIES} entries: {1e3 * mean_s:.2f} ms of processor "
        f"time and {size / 100e3:.1f} KB at each control instance"
    )


if __name__ == "__main__":
    print_request_cost()
    print_table_size()
    print_distribution_cost()
