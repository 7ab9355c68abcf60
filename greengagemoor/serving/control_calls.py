"""Incoming calls to a control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.errors import InvalidInputError
from greengagemoor.feed import messages as feed
from greengagemoor.serving import dialect as calls
from greengagemoor.serving import open_calls
from greengagemoor.serving.open_calls import BadCalls

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.feed.hub import FeedHub
    from greengagemoor.serving.dialect import Dialect
    from greengagemoor.serving.open_calls import OpenCalls
    from greengagemoor.serving.operators import OperatorCalls
    from greengagemoor.shell.clock import Clock


class ControlCalls:
    """Handles the calls of operators, searchers and callers.

    Attributes:
        bad_calls: the malformed calls so far.
    """

    def __init__(
        self,
        dialect: Dialect,
        put: Callable[[object], None],
        clock: Clock,
        hub: FeedHub,
        waiting: OpenCalls,
        operators: OperatorCalls,
    ):
        """Handles calls once the servers have started.

        Args:
            dialect: reads calls and writes replies.
            put: receives the messages for the next tick.
            clock: clock of the deciders.
            hub: finds entries for callers.
            waiting: the calls that wait for an answer.
            operators: handles the calls of operators.
        """
        self.bad_calls = BadCalls()
        self._dialect = dialect
        self._put = put
        self._clock = clock
        self._hub = hub
        self._calls = waiting
        self._operators = operators

    def handle_request(self, req: HttpRequest) -> None:
        """Handles a call of an operator, a searcher or a caller."""
        try:
            call = self._dialect.read_call(req)
        except InvalidInputError as exc:
            self.bad_calls.note(self._clock.now(), req.target, exc)
            call = None
        if isinstance(call, calls.AnnounceCall):
            self._put(feed.SearcherAnnounced(self._calls.open(req), call.row))
        elif isinstance(call, calls.LeaveCall):
            self._put(
                feed.SearcherLeaving(
                    self._calls.open(req), call.searcher_id, call.start
                )
            )
        elif isinstance(call, calls.PutCall):
            self._operators.handle_put(req, call)
        elif isinstance(call, calls.ReadCall):
            self._operators.handle_read(req)
        elif isinstance(call, calls.EvacuateCall):
            self._operators.handle_evacuate(req, call)
        elif isinstance(call, calls.FindEntriesCall):
            entries = self._hub.entries_for_caller(
                call.data_centre, self._dialect.max_entries
            )
            open_calls.answer(req, self._dialect.write_entries(entries))
        else:
            open_calls.answer(req, self._dialect.write_unknown_call())

    def handle_disconnect(self, req: HttpRequest) -> None:
        """Discards a call whose connection closed."""
        self._operators.discard(req)
