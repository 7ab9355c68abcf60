"""Requests to the control group for the number of the current document."""

from __future__ import annotations

from itertools import count

import attrs

from greengagemoor.control.messages import OpKind, OpRequest, Send

READ_INTERVAL_S = 0.1
MIN_READ_INTERVAL_S = 0.02
"""Shortest time from one round to the next, if that is moved forward."""
OTHERS_PER_ROUND = 2
"""Control instances asked per round besides the reported leader, which may be
frozen or partitioned while others know a newer one."""


@attrs.define(eq=False, repr=False)
class DocumentReadSchedule:
    """Selects the control instances that a starting entry asks, and when.

    A control instance that is partitioned from the others may have an old
    document, and an entry that accepted its answer would serve that document.
    So only the leader confirms the current document, after a quorum has
    answered it.

    Attributes:
        at: time at which the next round is due.
    """

    at: float = 0.0
    _leader: str = ""
    _offset: int = 0
    _ids: count = attrs.field(factory=lambda: count(1))

    def is_due(self, now: float) -> bool:
        """Whether the next round is due."""
        return now >= self.at

    def expedite(self, now: float) -> None:
        """Moves the next round forward after a document or leader is announced.

        After a restart of all processes, an entry that asks only every 0.1 s
        would learn of the elected leader 0.05 s late on average, while callers
        wait.
        """
        soon = self.at - READ_INTERVAL_S + MIN_READ_INTERVAL_S
        self.at = min(self.at, max(now, soon))

    def note_leader(self, now: float, name: str) -> None:
        """Records the leader that another control instance names."""
        if name and name != self._leader:
            self._leader = name
            self.expedite(now)

    def ask(self, now: float, linked: list[str], known: int) -> list[Send]:
        """Returns the requests of a round.

        Args:
            now: seconds.
            linked: control instances with a link.
            known: number of the newest document that is here or being fetched.
        """
        self.at = now + READ_INTERVAL_S
        return [
            Send(
                name,
                OpRequest(
                    next(self._ids), OpKind.READ_NUMBERED, known_version=known
                ),
            )
            for name in self._recipients(linked)
        ]

    def _recipients(self, linked: list[str]) -> list[str]:
        """Returns the reported leader and the next others in rotation.

        After a power loss all entries ask at the same time. If each asked all
        control instances, the answers would slow down the leader election.
        """
        others = [name for name in linked if name != self._leader]
        start = self._offset % max(1, len(others))
        self._offset = start + OTHERS_PER_ROUND
        asked = (others[start:] + others[:start])[:OTHERS_PER_ROUND]
        return [self._leader, *asked] if self._leader in linked else asked
