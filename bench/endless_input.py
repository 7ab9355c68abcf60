"""Peak memory of a client pool whose servers send without end (by hand)."""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import resource
import time
from functools import partial

from greengagemoor.aio.client import HttpFailure
from greengagemoor.aio.pool import Pool

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
WAIT_S = 20.0
READ_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = HEAD + b"Id: other\r\nContent-Length: 100\r\n\r\n" + b"r" * 100
FORMS = {
    "header value": (HEAD + b"A: ", b"a"),
    "many empty headers": (HEAD, b"a:\r\n"),
    "1xx responses": (b"", b"HTTP/1.1 103 E\r\nA: b\r\n\r\n"),
    "trailer value": (CHUNKED + b"0\r\nA: ", b"a"),
    "body with a length": (HEAD + b"Content-Length: 4000000\r\n\r\n", b"r"),
    "small chunks": (CHUNKED, b"2\r\nrr\r\n"),
    "body without a length": (HEAD + b"\r\n", b"r"),
    "responses to others": (b"", OTHER),
}


async def _send_without_end(form, limit, reader, writer) -> None:
    first, repeated = FORMS[form]
    read = repeated * (READ_BYTES // len(repeated))
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first)
        for _ in range(limit // len(read)):
            writer.write(read)
            await writer.drain()
        await reader.read()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


def _serve(form: str, limit: int, pipe) -> None:
    async def main():
        send = partial(_send_without_end, form, limit)
        server = await asyncio.start_server(
            send, "127.0.0.1", 0, limit=READ_BYTES, backlog=1024
        )
        pipe.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(main())


def _ask(port: int, count: int, pipe) -> None:
    def is_answer(headers) -> bool:
        return (b"Id", b"other") not in headers

    async def main():
        pool = Pool()
        ends = []
        start = time.monotonic()
        for _ in range(count):
            pool.send(f"127.0.0.1:{port}", GET, ends.append, is_answer)
        while len(ends) < count and time.monotonic() < start + WAIT_S:
            await asyncio.sleep(0.01)
        return ends, time.monotonic() - start

    ends, elapsed_s = asyncio.run(main())
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    reasons = {end.reason for end in ends if isinstance(end, HttpFailure)}
    pipe.send((peak_mb, len(ends), elapsed_s, sorted(reasons)))


def measure(form: str, count: int, limit: int) -> None:
    """Prints the peak memory in MB and the ends of ``count`` requests."""
    spawn = multiprocessing.get_context("spawn")
    ours, theirs = spawn.Pipe()
    server = spawn.Process(target=_serve, args=(form, limit, theirs))
    server.start()
    client = spawn.Process(target=_ask, args=(ours.recv(), count, theirs))
    client.start()
    peak_mb, ended, elapsed_s, reasons = ours.recv()
    client.join()
    server.terminate()
    server.join()
    print(
        f"{form}: {peak_mb:.0f} MB, {ended} of {count} ended"
        f" in {elapsed_s:.1f} s, {reasons}",
        flush=True,
    )


def main() -> None:
    """Measures each form of input."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=100)
    parser.add_argument("--limit-mb", type=float, default=4.0)
    parser.add_argument("--forms", nargs="*", default=list(FORMS))
    args = parser.parse_args()
    for form in args.forms:
        measure(form, args.connections, int(args.limit_mb * 1_048_576))


if __name__ == "__main__":
    main()
