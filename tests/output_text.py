"""Formats the output messages of a fake fleet for golden files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.control.messages import (
    AppendReply,
    AppendRequest,
    Send,
)
from greengagemoor.membership.messages import Ack, Probe

if TYPE_CHECKING:
    from tests.fakes import FakeFleet


def _is_periodic(msg: object) -> bool:
    if not isinstance(msg, Send):
        return False
    payload = msg.payload
    if isinstance(payload, AppendRequest):
        return not payload.entries
    return isinstance(payload, (Probe, Ack, AppendReply))


def format_output(fleet: FakeFleet) -> str:
    """Returns a line for each output message, without the periodic ones."""
    lines = [
        f"{at:8.3f} {name}: {_format(msg)}"
        for at, name, msg in fleet.out
        if not _is_periodic(msg)
    ]
    return "\n".join(lines) + "\n"


def _format(msg: object) -> str:
    if isinstance(msg, Send):
        return f"to {msg.to} {_format(msg.payload)}"
    shown = {
        field.name: getattr(msg, field.name)
        for field in attrs.fields(type(msg))
        if getattr(msg, field.name) not in (None, "", b"", (), 0, 0.0, False)
    }
    text = ", ".join(f"{key}={value!r}" for key, value in shown.items())
    return f"{type(msg).__name__}({text})"[:600]
