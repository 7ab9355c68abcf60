"""Commands for requests that are suspected of crashing searchers."""

from __future__ import annotations

from typing import Annotated

import typer

from greengagemoor.cmd import http_calls
from greengagemoor.serving.quarantine import QUARANTINE_PATH

DEFAULT_AT = "127.0.0.1:9464"
"""Metrics address of a control instance."""


def quarantine_command(at: http_calls.At = DEFAULT_AT) -> None:
    """Lists the requests that are quarantined or on trial, and why."""
    reply = http_calls.call_instance(at, "GET", QUARANTINE_PATH)
    http_calls.show(reply.body)
    http_calls.exit_with(reply)


def clear_command(
    digest: Annotated[str, typer.Argument(help="As `quarantine` shows it.")],
    at: http_calls.At = DEFAULT_AT,
) -> None:
    """Lets all entries send a request to searchers again."""
    reply = http_calls.call_instance(
        at, "POST", QUARANTINE_PATH, {"digest": digest}
    )
    http_calls.show(reply.body)
    http_calls.exit_with(reply)
