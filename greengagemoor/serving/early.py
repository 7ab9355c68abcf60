"""Requests that came before this entry could serve any."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from greengagemoor.aio.server import HttpRequest
    from greengagemoor.serving.dialect import CallerWords

MOST = 200
LONGEST_S = 0.35
"""From listening to a confirmed document takes 0.3 to 0.4 s when the control
instances start as well, and milliseconds otherwise."""
PATIENCE_SHARE = 0.4
"""Part of a caller's patience that may pass here; enough is left to be served,
or to come again."""


@attrs.frozen(eq=False)
class Waiting:
    """A request, and until when it may wait."""

    req: HttpRequest
    words: CallerWords
    until: float


class EarlyRequests:
    """Holds requests for the moment that a starting entry needs.

    Answers the load after a kill of everything: callers come back at once,
    each with one more attempt; refused a few milliseconds before the entry is
    ready, they would not be served at all.
    """

    def __init__(self):
        self._waiting: list[Waiting] = []

    @property
    def is_full(self) -> bool:
        """Whether no more may wait."""
        return len(self._waiting) >= MOST

    def add(
        self,
        now: float,
        req: HttpRequest,
        words: CallerWords,
        patience_s: float | None,
    ) -> None:
        """Takes a request; ``patience_s`` is how long its caller waits."""
        longest = LONGEST_S
        if patience_s is not None:
            longest = min(longest, PATIENCE_SHARE * patience_s)
        self._waiting.append(Waiting(req, words, now + longest))

    def remove(self, req: HttpRequest) -> None:
        """Forgets a request whose caller left."""
        self._waiting = [w for w in self._waiting if w.req is not req]

    def take_all(self) -> list[Waiting]:
        """Returns all, in the order in which they came."""
        taken, self._waiting = self._waiting, []
        return taken

    def take_expired(self, now: float) -> list[Waiting]:
        """Returns those that may wait no longer."""
        if not self._waiting:
            return []
        expired = [w for w in self._waiting if w.until <= now]
        self._waiting = [w for w in self._waiting if w.until > now]
        return expired

    def next_wake(self) -> float | None:
        """Returns when the next one may wait no longer."""
        return min((w.until for w in self._waiting), default=None)
