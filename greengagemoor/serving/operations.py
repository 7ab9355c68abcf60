"""Runs the client of the control group by the clock of its callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.client import ControlClient

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable


class Operations:
    """The operations of this instance's callers that are in progress.

    Their time limits go on while the machine is suspended, when the clock of
    the other deciders may stand still: the callers wait no longer then.
    """

    def __init__(
        self, instance: str, rng: random.Random, now: Callable[[], float]
    ):
        """Knows only this instance of the group.

        Args:
            instance: name of this instance.
            rng: seeded source, see ``ControlClient``.
            now: returns the time in seconds, by a clock that also counts while
                the machine is suspended.
        """
        self.now = now
        self._client = ControlClient([instance], rng)

    @property
    def targets(self) -> list[str]:
        """Instances that may lead the group."""
        return self._client.targets

    def set_targets(self, instances: Iterable[str]) -> None:
        """Sets the instances that may lead the group."""
        self._client.targets = sorted(instances)

    def step(self, msgs: Iterable[object]) -> list:
        """Runs one tick; see ``ControlClient.step``."""
        return self._client.step(self.now(), msgs)

    def next_wake(self, now: float) -> float | None:
        """Returns when the next tick is due, None if no operation waits.

        Args:
            now: the present time by the clock of the result.
        """
        wake = self._client.next_wake()
        return None if wake is None else now + wake - self.now()
