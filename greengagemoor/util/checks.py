"""Validators for attrs fields, shared by settings, documents and messages."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    import attrs

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
ADDRESS_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})")
MAX_PORT = 65535


def is_name(_: Any, attribute: attrs.Attribute, value: str) -> None:
    """Rejects all but 1 to 64 letters, digits, dots, dashes, underscores.

    The first character must be a letter or a digit.
    """
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(f"{attribute.name}: {value[:80]!r} is not a name")


def is_address(_: Any, attribute: attrs.Attribute, value: str) -> None:
    """Rejects all but IP:PORT; host names are not resolved."""
    if not is_ip_port(value):
        raise ValueError(f"{attribute.name}: {value[:80]!r} is not IP:PORT")


def is_ip_port(value: str) -> bool:
    """Whether a text is IP:PORT."""
    match = ADDRESS_PATTERN.fullmatch(value)
    return (
        match is not None
        and value.isascii()
        and all(int(part) <= 255 for part in match[1].split("."))
        and int(match[2]) <= MAX_PORT
    )


def in_range(low: float, high: float) -> Callable[..., None]:
    """Returns a validator that rejects numbers outside [low, high]."""

    def check(_: Any, attribute: attrs.Attribute, value: float) -> None:
        if value is not None and not low <= value <= high:
            raise ValueError(
                f"{attribute.name}: {value} is outside {low} to {high}"
            )

    return check


def one_of(*choices: str) -> Callable[..., None]:
    """Returns a validator that rejects all but the given values."""

    def check(_: Any, attribute: attrs.Attribute, value: str) -> None:
        if value not in choices:
            raise ValueError(
                f"{attribute.name}: {value!r} is not one of {list(choices)}"
            )

    return check


def unique_by(key: Callable[[Any], Any]) -> Callable[..., None]:
    """Returns a validator that rejects sequences with duplicate keys."""

    def check(_: Any, attribute: attrs.Attribute, value: tuple) -> None:
        counts = Counter(map(key, value))
        duplicates = sorted(str(item) for item, n in counts.items() if n > 1)
        if duplicates:
            raise ValueError(
                f"{attribute.name}: {', '.join(duplicates)} given twice"
            )

    return check


def at_most(limit: int) -> Callable[..., None]:
    """Returns a validator that rejects longer sequences or strings."""

    def check(_: Any, attribute: attrs.Attribute, value: Any) -> None:
        if len(value) > limit:
            raise ValueError(
                f"{attribute.name}: {len(value)} items, at most {limit}"
            )

    return check
