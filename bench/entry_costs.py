"""Measures an entry's processor time per attempt of a gather, on loopback.

Run ``python -m bench.entry_costs [--profile]``. Searchers run in a second
process, so that only the entry's processor time is counted.
"""

from __future__ import annotations

import asyncio
import cProfile
import json
import multiprocessing
import pstats
import sys
import time
import zlib

from greengagemoor import log
from greengagemoor.aio.requests import Limits
from greengagemoor.aio.server import HttpServer
from greengagemoor.codes import Code
from greengagemoor.control.messages import OpReply, Received
from greengagemoor.feed import messages as feed
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.serving.entry import EntryApp
from greengagemoor.serving.settings import ServingSettings

SHARDS = 10
REPLICAS = 3
REQUESTS = 1500
BASE_PORT = 21300
CALLER_ADDRESS = "127.0.0.1:21290"
BODY = b"0123456789abcdef" * 12


class _Searcher:
    def handle_request(self, req):
        headers = (
            (b"Server-Stamp", b"1f.18.51a.0.73208fabce0b820a"),
            (b"Server-Load", b"1,0,5"),
            (b"Request-Id", (req.header(b"request-id") or "").encode()),
            (b"Keep-Alive", b"timeout=10"),
        )
        req.conn.reply(req, 200, headers, BODY)

    def handle_disconnect(self, req):
        pass


def _run_searchers() -> None:
    async def main():
        for i in range(SHARDS * REPLICAS):
            address = f"127.0.0.1:{BASE_PORT + i}"
            await HttpServer(address, _Searcher(), Limits()).start()
        await asyncio.sleep(600)

    log.configure_loguru("ERROR", "bench")
    asyncio.run(main())


def _make_document() -> bytes:
    services = [f"s{i}" for i in range(SHARDS)]
    return json.dumps(
        {
            "version": 1,
            "routes": [
                {
                    "name": "all",
                    "hostname": "h",
                    "path-prefix": "/",
                    "route-type": "safe",
                    "timeout-ms": 2000,
                    "target-latency-ms": 1000,
                    "gather": services,
                    "max-attempts": 2,
                    "top-k": 10,
                    "min-coverage": 0.9,
                }
            ],
            "services": [{"name": s, "max-conns": 200} for s in services],
        }
    ).encode()


async def _measure_entry(profile: bool) -> None:
    cfg = ServingSettings(
        instance="e1",
        data_centre="dc",
        peer_address="127.0.0.1:21289",
        seeds=(),
        caller_address=CALLER_ADDRESS,
        health_address="127.0.0.1:21291",
    )
    app = EntryApp(cfg, PlatformDialect())
    await app.start()
    rows = tuple(
        feed.SearcherRow(
            f"i{i}",
            f"s{i % SHARDS}",
            f"127.0.0.1:{BASE_PORT + i}",
            "dc",
            feed.SearcherState.READY,
            1,
            5,
            0.0,
        )
        for i in range(SHARDS * REPLICAS)
    )
    put = app._ticker.put
    put(feed.LinkUp("c1"))
    put(Received("c1", feed.SearcherRows(1, True, rows)))
    reply = OpReply(
        1, Code.CURRENT, version=1, packed=zlib.compress(_make_document())
    )
    put(Received("c1", reply))
    await asyncio.sleep(0.5)
    reader, writer = await asyncio.open_connection(*CALLER_ADDRESS.split(":"))
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    processor_start, wall_start = time.process_time(), time.monotonic()
    for i in range(REQUESTS):
        writer.write(
            b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n"
            b"Deadline-Ms: 1500\r\n\r\n" % i
        )
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        size = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(size)
    processor_s = time.process_time() - processor_start
    profiler.disable()
    print(
        f"{1e6 * processor_s / REQUESTS:.0f} us a gather of {SHARDS}, "
        f"{1e6 * processor_s / REQUESTS / SHARDS:.0f} us a send; "
        f"{1e3 * (time.monotonic() - wall_start) / REQUESTS:.2f} ms wall"
    )
    if profile:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(45)


def main() -> None:
    """Runs the searchers and prints the costs of the entry."""
    log.configure_loguru("ERROR", "bench")
    process = multiprocessing.Process(target=_run_searchers, daemon=True)
    process.start()
    time.sleep(1.0)
    asyncio.run(_measure_entry("--profile" in sys.argv))
    process.terminate()


if __name__ == "__main__":
    main()
