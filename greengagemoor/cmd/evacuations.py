"""Commands for evacuations of data centres."""

from __future__ import annotations

from typing import Annotated

import typer

from greengagemoor.cmd import http_calls
from greengagemoor.cmd.quarantine import DEFAULT_AT
from greengagemoor.serving.operators import EVACUATIONS_PATH

DataCentre = Annotated[str, typer.Argument(help="Name, as in the settings.")]


def evacuations_command(at: http_calls.At = DEFAULT_AT) -> None:
    """Lists the orders for data centres, and which are in force."""
    _show(http_calls.call_instance(at, "GET", EVACUATIONS_PATH))


def evacuate_command(
    data_centre: DataCentre, at: http_calls.At = DEFAULT_AT
) -> None:
    """Stops sending requests to the backend servers of a data centre."""
    _order(at, data_centre, active=True)


def restore_command(
    data_centre: DataCentre, at: http_calls.At = DEFAULT_AT
) -> None:
    """Revokes the evacuation of a data centre."""
    _order(at, data_centre, active=False)


def _order(at: str, data_centre: str, *, active: bool) -> None:
    body = {"data_centre": data_centre, "active": active}
    _show(http_calls.call_instance(at, "POST", EVACUATIONS_PATH, body))


def _show(reply: http_calls.Reply) -> None:
    http_calls.show(reply.body)
    http_calls.exit_with(reply)
