"""Request ids that carry the time at which the caller made them."""

from __future__ import annotations

MAX_ID_CHARS = 128
MAX_TIME_DIGITS = 15


def issue_time(request_id: str) -> float | None:
    """Returns the unix seconds that a request id carries.

    The form is ``<unix milliseconds>-<anything unique>``; None if it differs.
    """
    head, dash, rest = request_id.partition("-")
    plain = head.isascii() and head.isdigit() and len(head) <= MAX_TIME_DIGITS
    if not dash or not rest or not plain or len(request_id) > MAX_ID_CHARS:
        return None
    return int(head) / 1000
