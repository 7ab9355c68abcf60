"""Logs changes of the document, of backend servers and of control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor import events, log
from greengagemoor.query import messages as query
from greengagemoor.shell import group_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.events import EventListeners

    AddHandler = Callable[[type, Callable[[object], None]], None]


def add_log_handlers(add: AddHandler, bus: EventListeners) -> None:
    """Adds handlers that log these messages and notify the listeners.

    Args:
        add: sets the handler for a type of message.
        bus: the listeners to notify.
    """

    def add_notifying(
        kind: type, event: str, write: Callable[[object], None]
    ) -> None:
        def handle(msg: object) -> None:
            write(msg)
            bus.emit(event, msg)

        add(kind, handle)

    add_notifying(
        query.DocumentChanged, events.DOCUMENT_IN_FORCE, _log_document
    )
    add_notifying(query.ServerChanged, events.SERVER_CHANGED, _log_server)
    add_notifying(query.ServerGone, events.SERVER_CHANGED, _log_server_gone)
    add_notifying(query.ControlReady, events.CONTROL_CHANGED, _log_control)
    for kind, write in group_log.LOGGERS_BY_NOTICE.items():
        add(kind, write)


def _log_document(msg: query.DocumentChanged) -> None:
    log.event("document_in_force", version=msg.version)


def _log_server(msg: query.ServerChanged) -> None:
    log.event(
        "server_changed",
        service=msg.server.service,
        server=msg.server.name,
        state=msg.server.state.value,
        share=msg.share,
    )


def _log_server_gone(msg: query.ServerGone) -> None:
    log.event("server_gone", service=msg.service, server=msg.name)


def _log_control(msg: query.ControlReady) -> None:
    log.event("control_ready", ready=msg.ready)
