"""Calls to a control instance that wait for a decider's result."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.util.line_budget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.control.client import Done
    from greengagemoor.control.messages import OpReply
    from greengagemoor.serving.dialect import Reply

BAD_CALL_LINES_PER_S = 1.0
BAD_CALL_LINES_BURST = 10.0
"""Log lines at once. Anybody may send malformed calls at any rate; the total in
each line shows how many were left out."""
MAX_FIELD_CHARACTERS = 200


class OpenCalls:
    """Calls without an answer yet, by token."""

    def __init__(self):
        self._tokens = count(1)
        self._waiting: dict[int, HttpRequest] = {}
        self._writers: dict[int, Callable[[OpReply], Reply]] = {}

    def open(
        self, req: HttpRequest, write: Callable[[OpReply], Reply] | None = None
    ) -> int:
        """Registers a call and returns its token.

        Args:
            req: the call.
            write: builds the reply to an operation of the control group.
        """
        req.token = next(self._tokens)
        self._waiting[req.token] = req
        if write is not None:
            self._writers[req.token] = write
        return req.token

    @property
    def is_waiting(self) -> bool:
        """Whether a call has no answer yet."""
        return bool(self._waiting)

    def discard(self, req: HttpRequest) -> None:
        """Discards a call whose connection closed."""
        self._waiting.pop(req.token, None)
        self._writers.pop(req.token, None)

    def answer(self, token: int, reply: Reply, *, close: bool = False) -> None:
        """Answers a call, unless its connection closed.

        Args:
            token: as returned by ``open``.
            reply: the answer.
            close: whether the connection ends after it.
        """
        req = self._waiting.pop(token, None)
        if req is not None:
            answer(req, reply, close=close)

    def complete(self, msg: Done) -> None:
        """Answers an operator's call whose operation has ended.

        Its connection ends: an order on one that was kept would be redirected
        for its supposed age, and callers follow only a few redirects.
        """
        code = msg.reply.code
        log.event(
            "operation",
            kind=msg.kind.value,
            code=int(code),
            version=msg.reply.version,
            resubmissions=msg.resubmissions,
            waiting=msg.token in self._waiting,
        )
        write = self._writers.pop(msg.token, None)
        if write is not None:
            self.answer(msg.token, write(msg.reply), close=True)


def answer(req: HttpRequest, reply: Reply, *, close: bool = False) -> None:
    """Sends the answer to a call."""
    req.conn.reply(req, reply.status, reply.headers, reply.body, close=close)


class BadCalls:
    """Counts malformed calls, and logs some of them."""

    def __init__(self):
        self.total = 0
        self._budget = LineBudget(BAD_CALL_LINES_PER_S, BAD_CALL_LINES_BURST)

    def note(self, now: float, target: str, reason: Exception) -> None:
        """Counts a call; logs it within the budget."""
        self.total += 1
        if self._budget.try_take(now):
            log.event(
                "bad_call",
                target=target[:MAX_FIELD_CHARACTERS],
                reason=str(reason)[:MAX_FIELD_CHARACTERS],
                number=self.total,
            )
