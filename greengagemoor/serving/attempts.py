"""Sends attempts and probes to searchers, and reports how each ends."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.aio import background
from greengagemoor.forward.messages import AttemptEnded, Outcome, ProbeEnded
from greengagemoor.serving.attempt_results import attempt_ended

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.aio.client import HttpFailure, HttpResponse
    from greengagemoor.aio.pool import PendingRequest, Pool
    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.feed.messages import SearcherKey
    from greengagemoor.forward.messages import (
        CancelAttempt,
        ProbeSearcher,
        StartAttempt,
    )
    from greengagemoor.serving.dialect import Dialect
    from greengagemoor.shell.clock import Clock


class Attempts:
    """The attempts of an entry that are in flight.

    Each attempt that is not cancelled ends with exactly one ``AttemptEnded``:
    one without an end would hold its place at the searcher for ever.
    """

    def __init__(
        self,
        pool: Pool,
        dialect: Dialect,
        clock: Clock,
        put: Callable[[object], None],
        requests: dict[int, HttpRequest],
    ):
        """Sends nothing yet.

        Args:
            pool: connections to searchers.
            dialect: writes requests and reads answers.
            clock: clock of the deciders.
            put: receives ``AttemptEnded`` and ``ProbeEnded``.
            requests: the requests to send to searchers, by token.
        """
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._put = put
        self._requests = requests
        self._pending: dict[int, PendingRequest] = {}

    def start(self, msg: StartAttempt) -> None:
        """Sends an attempt."""
        req = self._requests.get(msg.token)
        if req is None:
            self._put(AttemptEnded(msg.attempt_id, Outcome.NOT_SENT))
            return
        try:
            left_s = msg.deadline - self._clock.now()
            data = self._dialect.write_attempt(req, msg.searcher_id, left_s)
        except Exception as exc:
            self._report_failure(
                "write_attempt",
                exc,
                AttemptEnded(
                    msg.attempt_id, Outcome.NOT_SENT, reason=log.describe(exc)
                ),
            )
            return
        self._send(msg, data)

    def _send(self, msg: StartAttempt, data: bytes) -> None:
        done = partial(self._end, msg.attempt_id)
        is_answer = partial(self._dialect.is_answer_to, msg.request_id)
        try:
            self._pending[msg.attempt_id] = self._pool.send(
                msg.address, data, done, is_answer
            )
        except Exception as exc:
            # Part of it may have left this process.
            self._report_failure(
                "send_attempt",
                exc,
                AttemptEnded(
                    msg.attempt_id, Outcome.BROKEN, reason=log.describe(exc)
                ),
            )

    def cancel(self, msg: CancelAttempt) -> None:
        """Cancels an attempt, unless it has ended."""
        pending = self._pending.pop(msg.attempt_id, None)
        if pending is not None:
            pending.cancel()

    def probe(self, msg: ProbeSearcher) -> None:
        """Checks whether a searcher's address accepts connections."""
        done = partial(self._end_probe, msg.searcher)
        self._pool.check_listening(msg.address, done)

    def gauges(self) -> dict[str, float]:
        """Returns the current gauges, by name."""
        return {
            "searcher_connections_opened_total": self._pool.opened_count,
            "searcher_responses_skipped_total": self._pool.skipped_count,
            "searcher_responses_ended_by_close_total": (
                self._pool.ended_by_close_count
            ),
            "searcher_responses_too_large_total": self._pool.too_large_count,
            "searcher_response_buffer_bytes": self._pool.buffers.size,
        }

    def _end(self, attempt_id: int, result: HttpResponse | HttpFailure) -> None:
        self._pending.pop(attempt_id, None)
        try:
            ended = attempt_ended(attempt_id, result, self._dialect)
        except Exception as exc:
            self._report_failure(
                "read_answer",
                exc,
                AttemptEnded(
                    attempt_id,
                    Outcome.BROKEN,
                    reason=log.describe(exc),
                    response_began=True,
                ),
            )
            return
        self._put(ended)

    def _end_probe(self, searcher: SearcherKey, refused: bool) -> None:
        self._put(ProbeEnded(searcher, refused))

    def _report_failure(
        self, name: str, exc: Exception, ended: AttemptEnded
    ) -> None:
        background.log_failure(name, exc)
        self._put(ended)
