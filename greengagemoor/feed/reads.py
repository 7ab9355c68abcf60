"""Asking the control group which document is current."""

from __future__ import annotations

from itertools import count

import attrs

from greengagemoor.control.messages import OpKind, OpRequest, Send

READ_AGAIN_S = 0.1
READ_SOON_S = 0.02
"""Least time between two reads, when there is reason to ask before
``READ_AGAIN_S`` is over."""
ASKED_IN_TURN = 2
"""Control instances asked in a round, besides the one that is said to lead: it
may be frozen or cut off, and others know a newer one."""


@attrs.define(eq=False, repr=False)
class Reads:
    """Whom a starting entry asks, and when.

    An entry that trusted the first control instance could serve an old
    document after a restart, if that instance is cut off from the others. So
    only the leader confirms, and says so after a quorum has answered it.

    Attributes:
        at: when the next round is due.
    """

    at: float = 0.0
    _leader: str = ""
    _turn: int = 0
    _ids: count = attrs.field(factory=lambda: count(1))

    def is_due(self, now: float) -> bool:
        """Whether the next round is due."""
        return now >= self.at

    def hurry(self, now: float) -> None:
        """Asks again soon: a control instance has a document, or leads.

        After a kill of everything the control group has a leader at some
        moment; an entry that asks each tenth of a second lets callers wait
        half of that after it for nothing.
        """
        soon = self.at - READ_AGAIN_S + READ_SOON_S
        self.at = min(self.at, max(now, soon))

    def note_leader(self, now: float, name: str) -> None:
        """Learns who leads, from one that does not."""
        if name and name != self._leader:
            self._leader = name
            self.hurry(now)

    def ask(self, now: float, linked: list[str], known: int) -> list[Send]:
        """Returns the requests of a round.

        Args:
            now: seconds.
            linked: control instances with a link.
            known: number of the newest document that is here or on its way.
        """
        self.at = now + READ_AGAIN_S
        return [
            Send(
                name,
                OpRequest(
                    next(self._ids), OpKind.READ_NUMBERED, known_version=known
                ),
            )
            for name in self._whom(linked)
        ]

    def _whom(self, linked: list[str]) -> list[str]:
        """Returns who is said to lead, and others in turn.

        After a loss of power all entries ask at the same moment. If each asked
        all control instances, these would be busy with answers while they have
        to elect one.
        """
        others = [name for name in linked if name != self._leader]
        start = self._turn % max(1, len(others))
        self._turn = start + ASKED_IN_TURN
        turn = (others[start:] + others[:start])[:ASKED_IN_TURN]
        return [self._leader, *turn] if self._leader in linked else turn
