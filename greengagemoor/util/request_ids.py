"""Request ids that contain the time at which the caller issued them."""

from __future__ import annotations

MAX_ID_CHARS = 128
MAX_TIME_DIGITS = 15


def issue_time(request_id: str) -> float | None:
    """Returns the time in a request id, in Unix seconds.

    The form is ``<Unix milliseconds>-<unique text>``; None for other ids.
    """
    digits, dash, rest = request_id.partition("-")
    is_valid = (
        digits.isascii() and digits.isdigit() and len(digits) <= MAX_TIME_DIGITS
    )
    if not dash or not rest or not is_valid or len(request_id) > MAX_ID_CHARS:
        return None
    return int(digits) / 1000
