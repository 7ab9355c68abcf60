"""Checks of single JSON values from untrusted writers."""

from __future__ import annotations

import math
from typing import Any

from greengagemoor.util.checks import is_ip_port

MAX_CHARACTERS = 1024
"""Bound on texts. Names of the platform have up to 40 characters, addresses 21,
path prefixes some hundred."""
MAX_INTEGER = 2**63 - 1
"""Greatest integer in messages between instances."""


def text(value: Any) -> str:
    """Returns a string that isn't empty.

    Raises:
        TypeError: it is not a string.
        ValueError: it is empty, too long, or can't be encoded as UTF-8.
    """
    if not isinstance(value, str):
        raise TypeError(f"{_abbreviate(value)} is not a string")
    if not value or len(value) > MAX_CHARACTERS:
        raise ValueError(f"text is empty or too long: {len(value)} characters")
    value.encode()
    return value


def address(value: Any) -> str:
    """Returns an IP address and port.

    Raises:
        TypeError: it is not a string.
        ValueError: it is not an IP address and port.
    """
    if not is_ip_port(text(value)):
        raise ValueError(f"{_abbreviate(value)} is not IP:PORT")
    return value


def integer(value: Any, minimum: int = 0) -> int:
    """Returns an integer; JSON's true and 1.0 are rejected.

    Raises:
        TypeError: it is not an integer.
        ValueError: it is out of range.
    """
    if type(value) is not int:
        raise TypeError(f"{_abbreviate(value)} is not an integer")
    if not minimum <= value <= MAX_INTEGER:
        raise ValueError(f"number is not within {minimum} to {MAX_INTEGER}")
    return value


def boolean(value: Any) -> bool:
    """Returns a boolean.

    Raises:
        TypeError: it is neither true nor false.
    """
    if not isinstance(value, bool):
        raise TypeError(f"{_abbreviate(value)} is not a boolean")
    return value


def token(value: Any) -> str:
    """Returns a text that can be sent as the value of a header.

    Raises:
        TypeError: it is not a string.
        ValueError: it is empty, too long, or not printable ASCII.
    """
    if not (text(value).isascii() and value.isprintable()):
        raise ValueError("text has characters that headers can't carry")
    return value


def key(value: Any) -> str:
    """Returns a key; errors don't quote it, as they are logged.

    Raises:
        TypeError: it is not a string.
        ValueError: it is empty, too long, or not printable ASCII.
    """
    if not isinstance(value, str):
        raise TypeError("a key is not a string")
    return token(value)


def number(value: Any) -> float:
    """Returns a finite number that isn't negative.

    Raises:
        TypeError: it is not a number.
        ValueError: it is out of range.
    """
    if type(value) not in (int, float):
        raise TypeError(f"{_abbreviate(value)} is not a number")
    if not 0 <= value <= MAX_INTEGER or math.isnan(value):
        raise ValueError(f"number is not within 0 to {MAX_INTEGER}")
    return value


def _abbreviate(value: Any) -> str:
    return repr(value)[:80]
