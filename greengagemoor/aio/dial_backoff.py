"""Timeouts and pauses for connecting to an address that does not answer."""

from __future__ import annotations

import attrs


@attrs.define(eq=False, repr=False)
class DialBackoff:
    """Exponential backoff of the connect timeout and of the pause after it.

    After a power loss machines come back some ten milliseconds apart. One that
    is still down drops the SYN packet, which TCP retransmits only after a
    second, so an entry would get its first link only a second after its start.
    Short first attempts connect as soon as the other side listens; longer ones
    then bound the load on a machine that stays down.

    Attributes:
        connect_s: connect timeout; at first some ten round trips between data
            centres.
        wait_s: pause after a failed attempt.
        growth: factor on both per failure; makes nine attempts in the first
            second.
        max_s: bound on each; a machine that stays down gets a packet every
            1.6 s.
    """

    connect_s: float = 0.05
    wait_s: float = 0.02
    growth: float = 1.15
    max_s: float = 0.8

    def record_failure(self) -> None:
        """Lengthens the next connect timeout and pause."""
        self.connect_s = min(self.growth * self.connect_s, self.max_s)
        self.wait_s = min(self.growth * self.wait_s, self.max_s)
