"""Drives a query decider with simulated searchers, step by step."""

from __future__ import annotations

import random

from greengagemoor.document import parse_document
from greengagemoor.query import messages as q
from greengagemoor.query.decider import QueryDecider
from tests.fakes import DOCUMENT, answer_to, of_kind, server

SHARE = 4


class Driver:
    """Runs one decider; records all attempts it starts and all replies."""

    def __init__(self, document: str = DOCUMENT, searchers=(), **fields):
        self.now = 0.0
        self.decider = QueryDecider("dc1", random.Random(7))
        self.replies: dict[int, q.Reply] = {}
        self.attempts: dict[int, q.StartAttempt] = {}
        self.out: list = []
        self._tokens = 0
        self.send(q.DocumentChanged(1, parse_document(document)))
        self.send(q.ControlReady(True))
        for name, shards in dict(searchers).items():
            self.announce(name, shards, **fields)

    def send(self, *msgs: object, at: float | None = None) -> list:
        """Runs one tick; returns its output messages."""
        self.now = self.now if at is None else at
        out = self.decider.step(self.now, msgs)
        self.out.extend(out)
        for reply in of_kind(out, q.Reply):
            assert reply.token not in self.replies, "answered twice"
            self.replies[reply.token] = reply
        for attempt in of_kind(out, q.StartAttempt):
            self.attempts[attempt.attempt_id] = attempt
        return out

    def announce(self, name: str, shards, share: int = SHARE, **fields):
        """Adds or changes a searcher."""
        return self.send(q.ServerChanged(server(name, shards, **fields), share))

    def ask(self, caller: str = "atlas", **fields) -> int:
        """Sends a request of class ``read``; returns its token."""
        self._tokens += 1
        defaults = {
            "request_class": "read",
            "request_id": f"r{self._tokens}",
            "service": "s",
            "deadline_s": 1.0,
        }
        request = q.Request(self._tokens, caller, **{**defaults, **fields})
        self.send(request)
        return self._tokens

    def under_way(self, server_name: str | None = None) -> list:
        """Returns the attempts in flight on one searcher or on all."""
        live = self.decider.state.tables.attempts
        return [
            attempt
            for key, attempt in self.attempts.items()
            if key in live and server_name in (None, attempt.server)
        ]

    def answer(self, attempt: q.StartAttempt, after: float = 0.01, **changes):
        """Answers an attempt ``after`` seconds from now."""
        return self.send(answer_to(attempt, **changes), at=self.now + after)

    def answer_all(self, after: float = 0.01) -> None:
        """Answers attempts until none is in flight."""
        while attempts := self.under_way():
            self.answer(attempts[0], after)

    def fail(self, attempt: q.StartAttempt, failure: q.Failure, **fields):
        """Reports that an attempt failed."""
        msg = q.AttemptFailed(attempt.attempt_id, failure, **fields)
        return self.send(msg)

    def reply(self, token: int) -> q.Answer:
        """Returns the answer to a request."""
        return self.replies[token].answer
