"""Load generator ``greengagemoor-load``: sends requests at a steady rate."""

from __future__ import annotations

import json
import random
import threading
import time
import uuid
from collections import Counter
from typing import Annotated

import attrs
import typer
import urllib3
from hdrh.histogram import HdrHistogram

from greengagemoor.cmd.ctl import DEFAULT_AT
from greengagemoor.codes import Code

MAX_SECONDS = 600
MAX_RATE = 10_000
LONGEST_US = 600_000_000
MICROSECONDS = 1_000_000
RESPONSE_MARGIN_S = 5.0
"""Seconds after a request's deadline until its call times out."""


@attrs.define
class LoadResults:
    """Results of a run, guarded by ``lock``."""

    codes: Counter = attrs.field(factory=Counter)
    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, LONGEST_US, 2)
    )
    unreachable: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def record(self, code: int | None, seconds: float) -> None:
        """Records one request; ``code`` is None if there was no answer."""
        with self.lock:
            if code is None:
                self.unreachable += 1
                return
            self.codes[code] += 1
            self.latency.record_value(max(1, int(seconds * MICROSECONDS)))


@attrs.frozen
class Plan:
    """Requests to send.

    Attributes:
        distinct: number of different queries, selected at random.
    """

    service: str
    request_class: str
    callers: int
    distinct: int
    deadline_s: float


class Sender:
    """A connection that sends its part of the request rate."""

    def __init__(self, at: str, plan: Plan, results: LoadResults, seed: int):
        host, _, port = at.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False
        )
        self._plan = plan
        self._results = results
        self._rng = random.Random(seed)

    def run(self, interval: float, until: float) -> None:
        """Sends requests until the time ``until``.

        A late answer does not shift the due times of later requests, and
        latency counts from the due time.
        """
        due = time.monotonic() + interval * self._rng.random()
        while due < until:
            time.sleep(max(0.0, due - time.monotonic()))
            self._send(due)
            due += interval

    def _send(self, due: float) -> None:
        plan = self._plan
        body = {
            "caller": f"load-{self._rng.randrange(plan.callers)}",
            "request_class": plan.request_class,
            "request_id": uuid.UUID(int=self._rng.getrandbits(128)).hex,
            "deadline_s": plan.deadline_s,
            "body": {"query": self._rng.randrange(plan.distinct)},
        }
        code = self._post(json.dumps(body).encode())
        self._results.record(code, time.monotonic() - due)

    def _post(self, body: bytes) -> int | None:
        try:
            reply = self._pool.urlopen(
                "POST",
                f"/v1/services/{self._plan.service}/requests",
                body=body,
                retries=False,
                timeout=self._plan.deadline_s + RESPONSE_MARGIN_S,
            )
            return reply.json()["code"]
        except (urllib3.exceptions.HTTPError, OSError, ValueError, KeyError):
            return None


def send_load(
    at: str, plan: Plan, rate: float, seconds: float, connections: int
) -> LoadResults:
    """Sends requests at a steady rate and returns the results.

    Args:
        at: IP:PORT of an entry.
        plan: what to send.
        rate: requests a second over all connections.
        seconds: duration of the run.
        connections: number of connections that send concurrently.
    """
    results = LoadResults()
    until = time.monotonic() + seconds
    senders = [Sender(at, plan, results, seed) for seed in range(connections)]
    threads = [
        threading.Thread(target=s.run, args=(connections / rate, until))
        for s in senders
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def run(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    request_class: Annotated[str, typer.Argument(help="Request class.")],
    rate: Annotated[
        float, typer.Option(min=0.1, max=MAX_RATE, help="Requests a second.")
    ] = 50.0,
    seconds: Annotated[float, typer.Option(min=0.1, max=MAX_SECONDS)] = 10.0,
    connections: Annotated[int, typer.Option(min=1, max=500)] = 16,
    callers: Annotated[int, typer.Option(min=1, help="Number of callers.")] = 4,
    distinct: Annotated[
        int, typer.Option(min=1, help="Number of distinct queries.")
    ] = 1000,
    deadline_s: Annotated[float, typer.Option(min=0.001)] = 1.0,
    at: Annotated[str, typer.Option(help="IP:PORT of an entry.")] = DEFAULT_AT,
) -> None:
    """Sends requests at a steady rate; shows result codes and latencies."""
    plan = Plan(service, request_class, callers, distinct, deadline_s)
    results = send_load(at, plan, rate, seconds, connections)
    for code, number in sorted(results.codes.items()):
        typer.echo(f"{code} {Code(code).name}: {number}")
    typer.echo(f"unreachable: {results.unreachable}")
    for quantile in (50, 90, 99, 99.9):
        value = results.latency.get_value_at_percentile(quantile) / 1000
        typer.echo(f"p{quantile:g}: {value:.1f} ms")


def main() -> None:
    """Entry point of the program."""
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(run)
    app()


if __name__ == "__main__":
    main()
