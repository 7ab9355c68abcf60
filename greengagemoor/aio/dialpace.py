"""How often an address is dialled that does not answer."""

from __future__ import annotations

import attrs


@attrs.define(eq=False, repr=False)
class DialPace:
    """How long a dial may take, and how long to wait after one that failed.

    After a loss of power machines come back some ten milliseconds apart. One
    that is still dark drops the packet that opens a connection, and it is sent
    again after a second only: an entry had its first link a second after its
    start. Short dials at first find the other side as soon as it listens;
    ever longer ones leave a machine that stays dark alone.

    Attributes:
        connect_s: longest wait for the connection; at first some ten round
            trips between data centres.
        wait_s: pause after a failure.
        growth: of both, with each failure; nine dials in the first second.
        longest_s: bound of both; a dark machine costs a packet each 1.6 s.
    """

    connect_s: float = 0.05
    wait_s: float = 0.02
    growth: float = 1.15
    longest_s: float = 0.8

    def note_failure(self) -> None:
        """Makes the next dial and the pause after it longer."""
        self.connect_s = min(self.growth * self.connect_s, self.longest_s)
        self.wait_s = min(self.growth * self.wait_s, self.longest_s)
