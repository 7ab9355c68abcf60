"""Tells what came out of a fake fleet, for golden files."""

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


def _is_noise(msg: object) -> bool:
    if not isinstance(msg, Send):
        return False
    payload = msg.payload
    if isinstance(payload, AppendRequest):
        return not payload.entries
    return isinstance(payload, (Probe, Ack, AppendReply))


def story(fleet: FakeFleet) -> str:
    """Returns what came out of all nodes, a line each, without heartbeats."""
    lines = [
        f"{at:8.3f} {name}: {_tell(msg)}"
        for at, name, msg in fleet.out
        if not _is_noise(msg)
    ]
    return "\n".join(lines) + "\n"


def _tell(msg: object) -> str:
    if isinstance(msg, Send):
        return f"to {msg.to} {_tell(msg.payload)}"
    shown = {
        field.name: getattr(msg, field.name)
        for field in attrs.fields(type(msg))
        if getattr(msg, field.name) not in (None, "", b"", (), 0, 0.0, False)
    }
    text = ", ".join(f"{key}={value!r}" for key, value in shown.items())
    return f"{type(msg).__name__}({text})"[:600]
