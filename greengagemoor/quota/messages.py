"""Messages between entries and the control instances that deal quotas.

They are sent as protobuf messages of the same names (wire/peers.proto).
"""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class QuotaAsk:
    """An entry asks for tokens of a client account.

    Attributes:
        ask_id: identifies the ask at the entry.
        account: name of the account.
        number: how many requests the entry wants to send.
    """

    ask_id: int
    account: str
    number: int


@values.frozen
class QuotaReply:
    """The answer to a ``QuotaAsk``.

    Attributes:
        granted: number of tokens, from 0 to the number asked for.
        valid_s: seconds for which they may be used.
        wait_s: if none was granted, seconds until there is one at the earliest.
        dealing: False if this instance deals no tokens; another one may.
    """

    ask_id: int
    account: str
    granted: int
    valid_s: float
    wait_s: float
    dealing: bool


@values.frozen
class TokenRequest:
    """A dealer requests tokens of some accounts from another one.

    Attributes:
        for_s: how many tokens it wants of each account, as the time in which
            the account's rate yields them; of an account without a rate, it
            wants all.
    """

    accounts: tuple[str, ...]
    for_s: float


@values.frozen
class TokenRow:
    """Tokens of one account."""

    account: str
    tokens: float


@values.frozen
class TokenGrant:
    """Tokens that the sender no longer has and the receiver now holds."""

    rows: tuple[TokenRow, ...]
