"""Events of an application, to which listeners can be connected."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from greengagemoor.errors import RegistryError

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWERED = "answered"
DOCUMENT_IN_FORCE = "document-in-force"
SERVER_CHANGED = "server-changed"
CONTROL_CHANGED = "control-changed"
TICK_FAILED = "tick-failed"

NAMES = frozenset(
    {
        ANSWERED,
        DOCUMENT_IN_FORCE,
        SERVER_CHANGED,
        CONTROL_CHANGED,
        TICK_FAILED,
    }
)


class EventListeners:
    """Listeners by event; they are called in the order they were added."""

    def __init__(self):
        self._listeners: dict[str, list[Callable[[Any], None]]] = defaultdict(
            list
        )

    def connect(self, name: str, listener: Callable[[Any], None]) -> None:
        """Adds a listener to an event.

        Raises:
            RegistryError: there is no event of that name.
        """
        if name not in NAMES:
            raise RegistryError(f"unknown event {name!r}")
        self._listeners[name].append(listener)

    def emit(self, name: str, subject: Any) -> None:
        """Calls every listener of the event with ``subject``."""
        for listener in self._listeners[name]:
            listener(subject)
