"""Values of JSON that anybody may have written, checked one by one."""

from __future__ import annotations

import math
from typing import Any

from greengagemoor.util.checks import is_ip_port

MOST_CHARACTERS = 1024
"""Names of the platform have up to 40 characters, addresses 21, prefixes some
hundred."""
MOST_WHOLE = 2**63 - 1
"""What the messages between our processes can carry."""


def text(value: Any) -> str:
    """Returns a text that isn't empty.

    Raises:
        TypeError: it is something else.
        ValueError: it is empty, too long, or has no encoding.
    """
    if not isinstance(value, str):
        raise TypeError(f"{_short(value)} is not a text")
    if not value or len(value) > MOST_CHARACTERS:
        raise ValueError(f"a text of {len(value)} characters")
    value.encode()
    return value


def address(value: Any) -> str:
    """Returns an IP address and port.

    Raises:
        TypeError: it is no text.
        ValueError: it is another text.
    """
    if not is_ip_port(text(value)):
        raise ValueError(f"{_short(value)} is not IP:PORT")
    return value


def whole(value: Any, least: int = 0) -> int:
    """Returns a whole number; JSON's true and 1.0 are none.

    Raises:
        TypeError: it is something else.
        ValueError: it is out of range.
    """
    if type(value) is not int:
        raise TypeError(f"{_short(value)} is not a whole number")
    if not least <= value <= MOST_WHOLE:
        raise ValueError(f"a number outside {least} to {MOST_WHOLE}")
    return value


def number(value: Any) -> float:
    """Returns a finite number that isn't negative.

    Raises:
        TypeError: it is something else.
        ValueError: it is out of range.
    """
    if type(value) not in (int, float):
        raise TypeError(f"{_short(value)} is not a number")
    if not 0 <= value <= MOST_WHOLE or math.isnan(value):
        raise ValueError(f"a number outside 0 to {MOST_WHOLE}")
    return value


def _short(value: Any) -> str:
    return repr(value)[:80]
