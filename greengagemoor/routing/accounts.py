"""Client accounts of a document, and the account of a request."""

from __future__ import annotations

from collections import Counter
from itertools import chain
from typing import TYPE_CHECKING

import attrs

from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


@values.frozen
class ClientAccount:
    """A client account: who a request counts for.

    Attributes:
        keys: secrets that callers identify themselves with. They must not
            appear in logs, so the representation leaves them out.
        rank: priority in place of the route's; None for the route's.
        rate_per_s: requests per second of its quota, over all entries.
        burst: requests that it may send on top of the rate at once.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the account has a quota; with neither rate nor burst, no."""
        return self.rate_per_s > 0 or self.burst > 0


class AccountIndex:
    """The accounts of one document, by key and by name."""

    def __init__(self, accounts: Iterable[ClientAccount]):
        self._by_name = {account.name: account for account in accounts}
        self._by_key = {
            key: account
            for account in self._by_name.values()
            for key in account.keys
        }

    def with_key(self, key: str) -> ClientAccount | None:
        """Returns the account that has the key."""
        return self._by_key.get(key)

    def named(self, name: str) -> ClientAccount | None:
        """Returns the account of that name."""
        return self._by_name.get(name)


def account_faults(accounts: tuple[ClientAccount, ...]) -> Iterator[str]:
    """Yields the faults of the accounts of a document; no text has a key."""
    names = Counter(account.name for account in accounts)
    yield from (
        f"{number} client accounts named {name}"
        for name, number in names.items()
        if number > 1
    )
    holders = Counter(
        chain.from_iterable(set(account.keys) for account in accounts)
    )
    shared = {key for key, number in holders.items() if number > 1}
    if shared:
        sharing = [a.name for a in accounts if not shared.isdisjoint(a.keys)]
        yield f"client accounts with a common key: {sharing[:4]}"
