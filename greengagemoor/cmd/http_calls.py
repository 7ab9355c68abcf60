"""HTTP calls of the operators' tool to an instance, and its exit codes."""

from __future__ import annotations

import json
from enum import IntEnum
from typing import Annotated, Any

import attrs
import typer
import urllib3

from greengagemoor.codes import Code

TIMEOUT_S = 30.0
NO_RETRIES = urllib3.Retry(
    total=None, connect=0, read=0, status=0, other=0, redirect=2
)
"""Orders are redirected by an instance that can't tell how old they are."""


class Exit(IntEnum):
    """Exit codes, as docs/OPERATIONS.md lists them."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5


_EXIT_BY_CODE = {
    Code.ACCEPTED: Exit.OK,
    Code.CURRENT: Exit.OK,
    Code.WHOLE: Exit.OK,
    Code.PARTIAL: Exit.OK,
    Code.CONFLICT: Exit.CONFLICT,
    Code.INVALID: Exit.INVALID,
    Code.NOT_RUN_BAD_REQUEST: Exit.INVALID,
    Code.APPLY_UNKNOWN: Exit.UNKNOWN,
    Code.UNKNOWN: Exit.UNKNOWN,
    Code.UNKNOWN_EXPIRED: Exit.UNKNOWN,
}

At = Annotated[
    str,
    typer.Option(
        "--at", envvar="GREENGAGEMOOR_AT", help="IP:PORT of an instance."
    ),
]


@attrs.frozen
class Reply:
    """An instance's answer.

    Attributes:
        body: decoded JSON, or None if the answer is not JSON.
    """

    status: int
    body: Any
    text: str


def call_instance(at: str, method: str, path: str, body: Any = None) -> Reply:
    """Calls an instance; exits the program if there is no whole answer."""
    http = urllib3.PoolManager(retries=NO_RETRIES)
    try:
        response = http.request(
            method,
            f"http://{at}{path}",
            body=json.dumps(body) if body is not None else None,
            headers={"Content-Type": "application/json"},
            timeout=TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError as exc:
        cause = getattr(exc, "reason", None) or exc
        typer.echo(f"{at}: {type(cause).__name__}", err=True)
        raise typer.Exit(Exit.UNREACHABLE) from exc
    if not _is_framed(response):
        typer.echo(f"{at}: the answer was cut off", err=True)
        raise typer.Exit(Exit.UNKNOWN)
    text = response.data.decode()
    try:
        return Reply(response.status, json.loads(text), text)
    except ValueError:
        return Reply(response.status, None, text)


def _is_framed(response: urllib3.BaseHTTPResponse) -> bool:
    """Whether an answer states its length; instances always do.

    ``http.client`` takes the end of the connection for the end of the headers.
    """
    headers = response.headers
    return bool(headers.get("Content-Length")) or (
        "chunked" in headers.get("Transfer-Encoding", "")
    )


def show(body: Any) -> None:
    """Prints a decoded answer."""
    typer.echo(json.dumps(body, indent=2, sort_keys=True))


def exit_with(reply: Reply) -> None:
    """Exits the program with the exit code for an answer."""
    code = reply.body.get("code") if isinstance(reply.body, dict) else None
    if code is None:
        raise typer.Exit(Exit.OK if reply.status < 400 else Exit.REFUSED)
    raise typer.Exit(_EXIT_BY_CODE.get(Code(code), Exit.REFUSED))
