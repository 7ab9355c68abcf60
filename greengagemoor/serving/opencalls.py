"""Calls to a control instance whose answer waits for a decider."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.util.linebudget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.control.client import Done
    from greengagemoor.control.messages import OpReply
    from greengagemoor.serving.dialect import Reply

BAD_CALLS_PER_S = 1.0
BAD_CALLS_BURST = 10.0
"""Anybody may send a control instance what it can't read, at any rate; the
number in each line tells what was left out."""
MOST_REASON = 200


class OpenCalls:
    """Calls by token, until each has its answer."""

    def __init__(self):
        self._tokens = count(1)
        self._waiting: dict[int, HttpRequest] = {}
        self._writers: dict[int, Callable[[OpReply], Reply]] = {}

    def open(
        self, req: HttpRequest, write: Callable[[OpReply], Reply] | None = None
    ) -> int:
        """Returns the token under which the call waits.

        Args:
            req: the call.
            write: writes the answer, for an operation of the control group.
        """
        req.token = next(self._tokens)
        self._waiting[req.token] = req
        if write is not None:
            self._writers[req.token] = write
        return req.token

    def forget(self, req: HttpRequest) -> None:
        """Forgets a call whose caller left."""
        self._waiting.pop(req.token, None)
        self._writers.pop(req.token, None)

    def answer(self, token: int, reply: Reply) -> None:
        """Answers a call, if its caller is still there."""
        req = self._waiting.pop(token, None)
        if req is not None:
            answer(req, reply)

    def take_done(self, msg: Done) -> None:
        """Answers an operator's call whose operation has ended."""
        code = msg.reply.code
        log.event(
            "operation",
            kind=msg.kind.value,
            code=int(code),
            version=msg.reply.version,
        )
        write = self._writers.pop(msg.token, None)
        if write is not None:
            self.answer(msg.token, write(msg.reply))


def answer(req: HttpRequest, reply: Reply) -> None:
    """Sends the answer to a call."""
    req.conn.reply(req, reply.status, reply.headers, reply.body)


class BadCalls:
    """Counts calls that can't be read, and logs some of them."""

    def __init__(self):
        self.total = 0
        self._budget = LineBudget(BAD_CALLS_PER_S, BAD_CALLS_BURST)

    def note(self, now: float, target: str, reason: Exception) -> None:
        """Counts a call; logs it if there is room."""
        self.total += 1
        if self._budget.take(now):
            log.event(
                "bad_call",
                target=target[:MOST_REASON],
                reason=str(reason)[:MOST_REASON],
                number=self.total,
            )
