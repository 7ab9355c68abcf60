"""Logs what the deciders say of documents, servers and control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor import events, log
from greengagemoor.query import messages as query
from greengagemoor.shell import group_notes

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.events import Events

    AddHandler = Callable[[type, Callable[[object], None]], None]


def connect(add: AddHandler, bus: Events) -> None:
    """Logs these messages, and passes them on to the listeners.

    Args:
        add: sets what is done with a kind of message.
        bus: where listeners are connected.
    """

    def note(kind: type, event: str, write: Callable[[object], None]) -> None:
        def handle(msg: object) -> None:
            write(msg)
            bus.emit(event, msg)

        add(kind, handle)

    note(query.DocumentChanged, events.DOCUMENT_IN_FORCE, _write_document)
    note(query.ServerChanged, events.SERVER_CHANGED, _write_server)
    note(query.ServerGone, events.SERVER_CHANGED, _write_server_gone)
    note(query.ControlReady, events.CONTROL_CHANGED, _write_control)
    for kind, write in group_notes.WRITERS.items():
        add(kind, write)


def _write_document(msg: query.DocumentChanged) -> None:
    log.event("document_in_force", version=msg.version)


def _write_server(msg: query.ServerChanged) -> None:
    log.event(
        "server_changed",
        service=msg.server.service,
        server=msg.server.name,
        state=msg.server.state.value,
        share=msg.share,
    )


def _write_server_gone(msg: query.ServerGone) -> None:
    log.event("server_gone", service=msg.service, server=msg.name)


def _write_control(msg: query.ControlReady) -> None:
    log.event("control_ready", ready=msg.ready)
