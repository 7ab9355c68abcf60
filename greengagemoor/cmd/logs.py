"""Commands of ``greengagemoorctl`` that read log files."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

from greengagemoor.log_analysis.explain import explain
from greengagemoor.log_analysis.lines import LogLine, merge, read_lines
from greengagemoor.log_analysis.losses import find_losses, format_report
from greengagemoor.log_analysis.timeline import disagreements, timeline

Files = Annotated[
    list[Path] | None,
    typer.Argument(help="Log files; standard input by default."),
]


def explain_command(
    request_id: Annotated[str, typer.Argument(help="Id of one attempt.")],
    files: Files = None,
) -> None:
    """Shows the history of a request and the reason for its result."""
    for line in explain(_read(files), request_id):
        typer.echo(line)


def timeline_command(
    files: Files = None,
    searchers: Annotated[
        bool, typer.Option(help="Also show changes of searchers.")
    ] = False,
    after_s: Annotated[
        float, typer.Option(help="Lag in seconds that is not reported.")
    ] = 3.0,
) -> None:
    """Shows state changes of each process, and where two disagreed."""
    lines = _read(files)
    for text in timeline(lines, searchers=searchers):
        typer.echo(text)
    for text in disagreements(lines, after_s):
        typer.echo(f"disagreement: {text}")


def losses_command(files: Files = None) -> None:
    """Shows lost and partial answers, by cause and by second."""
    for text in format_report(find_losses(_read(files))):
        typer.echo(text)


def _read(files: list[Path] | None) -> list[LogLine]:
    if not files:
        return merge([read_lines(sys.stdin)])
    return merge(
        read_lines(path.read_text(errors="replace").splitlines(), path.stem)
        for path in files
    )
