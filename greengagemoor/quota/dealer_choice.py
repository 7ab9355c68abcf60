"""Selects the control instance that an entry asks for an account's tokens."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

AVOID_S = 1.0
"""Seconds for which an instance that did not answer, or does not deal, is asked
only if no other is left."""
WEIGHT_BYTES = 8


def weight(account: str, instance: str) -> bytes:
    """Returns the rendezvous hash, which is the same in every process.

    Args:
        account: name of the account.
        instance: name of the control instance.
    """
    key = f"{account}\0{instance}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(key, digest_size=WEIGHT_BYTES).digest()


class DealerChoice:
    """The control instances with a link, and those to be avoided.

    All entries rank them equally, so that nearly all tokens of an account are
    asked from the same instance.
    """

    def __init__(self):
        self._linked: set[str] = set()
        self._avoid_until: dict[str, float] = {}

    def add(self, instance: str) -> None:
        """Registers an instance whose link is up."""
        self._linked.add(instance)
        self._avoid_until.pop(instance, None)

    def remove(self, instance: str) -> None:
        """Removes an instance whose link is down."""
        self._linked.discard(instance)
        self._avoid_until.pop(instance, None)

    def avoid(self, instance: str, now: float) -> None:
        """Ranks an instance behind all others for ``AVOID_S``."""
        if instance in self._linked:
            self._avoid_until[instance] = now + AVOID_S

    def select(
        self, account: str, tried: Collection[str], now: float
    ) -> str | None:
        """Returns the instance to ask next; None if none is left.

        Args:
            account: name of the account.
            tried: instances that were asked already.
            now: seconds.
        """
        return max(
            (name for name in self._linked if name not in tried),
            key=lambda name: (
                self._avoid_until.get(name, now) <= now,
                weight(account, name),
            ),
            default=None,
        )
