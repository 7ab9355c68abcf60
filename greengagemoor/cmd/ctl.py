"""The operators' tool: ``greengagemoorctl``."""

from __future__ import annotations

import difflib
import json
import time
import uuid
from pathlib import Path
from typing import Annotated, Any

import attrs
import typer

from greengagemoor.cmd import evacuations, logs, quarantine
from greengagemoor.cmd.http_calls import At, Exit, call_instance, exit_with
from greengagemoor.cmd.http_calls import show as show_body
from greengagemoor.codes import Code
from greengagemoor.config import Settings
from greengagemoor.document import parse_document
from greengagemoor.errors import DocumentError

DEFAULT_AT = "127.0.0.1:8001"
app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Applies documents to greengagemoor and shows its state.",
)

app.command("explain")(logs.explain_command)
app.command("timeline")(logs.timeline_command)
app.command("losses")(logs.losses_command)
app.command("quarantine")(quarantine.quarantine_command)
app.command("clear")(quarantine.clear_command)
app.command("evacuate")(evacuations.evacuate_command)
app.command("restore")(evacuations.restore_command)
app.command("evacuations")(evacuations.evacuations_command)


def _read_document(path: Path) -> Any:
    try:
        text = path.read_text(encoding="utf-8")
        parse_document(text)
    except OSError as exc:
        typer.echo(f"{path}: {exc.strerror}", err=True)
        raise typer.Exit(Exit.INVALID) from exc
    except DocumentError as exc:
        for fault in exc.faults:
            typer.echo(f"{path}: {fault}", err=True)
        raise typer.Exit(Exit.INVALID) from exc
    return json.loads(text)


@app.command()
def apply(
    document: Annotated[Path, typer.Argument(help="Document file, JSON.")],
    replaces: Annotated[
        int | None,
        typer.Option(help="Version it replaces; by default the current one."),
    ] = None,
    apply_id: Annotated[
        str,
        typer.Option(help="Id of this change; repeat it after a lost reply."),
    ] = "",
    at: At = DEFAULT_AT,
) -> None:
    """Applies a document as a whole.

    Without --replaces, the current version is read first; if another change
    is accepted in between, this one is rejected as a conflict.
    """
    decoded = _read_document(document)
    if replaces is None:
        replaces = _current(at)["version"]
    body = {
        "apply_id": apply_id or f"apply-{uuid.uuid4().hex}",
        "replaces": replaces,
        "document": decoded,
    }
    reply = call_instance(at, "PUT", "/v1/document", body)
    show_body({"apply_id": body["apply_id"], **reply.body})
    exit_with(reply)


def _current(at: str) -> dict[str, Any]:
    reply = call_instance(at, "GET", "/v1/document")
    if reply.body.get("code") != Code.CURRENT:
        show_body(reply.body)
        raise typer.Exit(Exit.REFUSED)
    return reply.body


@app.command()
def show(at: At = DEFAULT_AT) -> None:
    """Shows the current document, confirmed by a quorum."""
    show_body(_current(at))


@app.command()
def diff(
    document: Annotated[Path, typer.Argument(help="Document file, JSON.")],
    at: At = DEFAULT_AT,
) -> None:
    """Shows how a document differs from the current one."""
    wanted = _read_document(document)
    current = _current(at)
    sides = [
        json.dumps(side, indent=2, sort_keys=True).splitlines()
        for side in (current["document"] or {}, wanted)
    ]
    lines = difflib.unified_diff(
        *sides,
        f"version {current['version']}",
        str(document),
        lineterm="",
    )
    for line in lines:
        typer.echo(line)


@app.command()
def status(at: At = DEFAULT_AT) -> None:
    """Shows an instance's view: document, instances, backend servers."""
    reply = call_instance(at, "GET", "/v1/status")
    show_body(reply.body)
    exit_with(reply)


@app.command()
def members(at: At = DEFAULT_AT) -> None:
    """Shows the control group, and whether it tolerates a further loss."""
    reply = call_instance(at, "GET", "/v1/members")
    show_body(reply.body)
    warning = reply.body.get("warning")
    if warning:
        typer.echo(f"warning: {warning}", err=True)
    exit_with(reply)


@app.command("remove-member")
def remove_member(
    member_id: Annotated[str, typer.Argument(help="As `members` shows it.")],
    at: At = DEFAULT_AT,
) -> None:
    """Removes from the control group a member that will not return."""
    reply = call_instance(at, "DELETE", f"/v1/members/{member_id}")
    show_body(reply.body)
    exit_with(reply)


@app.command()
def addresses(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    at: At = DEFAULT_AT,
) -> None:
    """Shows which entries the callers of a service should use."""
    reply = call_instance(at, "GET", f"/v1/addresses?service={service}")
    show_body(reply.body)
    exit_with(reply)


@app.command()
def request(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    request_class: Annotated[str, typer.Argument(help="Request class.")],
    body: Annotated[str, typer.Option(help="JSON for the searchers.")] = "null",
    caller: Annotated[str, typer.Option(help="Caller's name.")] = "operator",
    key: Annotated[str | None, typer.Option(help="Asks one shard.")] = None,
    request_id: Annotated[str, typer.Option(help="Generated if empty.")] = "",
    deadline_s: Annotated[float | None, typer.Option()] = None,
    not_repeatable: Annotated[
        bool, typer.Option("--not-repeatable", help="Run at most once.")
    ] = False,
    at: At = DEFAULT_AT,
) -> None:
    """Sends one request and shows the whole answer."""
    generated_id = f"{int(time.time() * 1000)}-{uuid.uuid4().hex}"
    payload = {
        "caller": caller,
        "request_class": request_class,
        "request_id": request_id or generated_id,
        "deadline_s": deadline_s,
        "repeatable": not not_repeatable,
        "key": key,
        "body": json.loads(body),
    }
    reply = call_instance(
        at, "POST", f"/v1/services/{service}/requests", payload
    )
    show_body(reply.body)
    exit_with(reply)


@app.command()
def histograms(at: At = DEFAULT_AT) -> None:
    """Shows latency, coverage and attempts by caller and request class."""
    reply = call_instance(at, "GET", "/v1/histograms")
    for row in reply.body["rows"]:
        values = " ".join(f"{value:12g}" for value in row["values"])
        typer.echo(
            f"{row['caller']:20} {row['request_class']:20} "
            f"{row['measure']:18} n={row['count']:<8} "
            f"p50/p90/p99/p99.9 {values}"
        )


@app.command("explain-settings")
def explain_settings() -> None:
    """Lists every setting of greengagemoord with default and meaning."""
    for field in attrs.fields(Settings):
        required = field.default is attrs.NOTHING
        default = "required" if required else repr(field.default)
        typer.echo(f"{field.name} ({default}): {field.metadata['doc']}")


def main() -> None:
    """Entry point of the program."""
    app()


if __name__ == "__main__":
    main()
