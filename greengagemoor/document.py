"""Document of the operators: services, backend servers, request classes."""

from __future__ import annotations

import attrs

from greengagemoor.errors import DocumentError, InvalidInputError
from greengagemoor.registry import choosers, completions
from greengagemoor.util import json_conversion
from greengagemoor.util.checks import (
    at_most,
    in_range,
    is_name,
    unique_by,
)

MAX_SERVICES = 5000
MAX_BACKEND_SERVERS = 2000
MAX_CLASSES = 64
MAX_ENTRIES = 4096


def _registered(registry):
    def check(_, attribute, value):
        if value not in registry:
            raise ValueError(
                f"{attribute.name}: {value!r} is not one of {registry.names()}"
            )

    return check


def _name_of(item) -> str:
    return item.name


@attrs.frozen
class RequestClass:
    """Rules for one kind of request; times in seconds.

    Attributes:
        repeatable: whether a request may be sent more than once; if not, it is
            claimed in the ledger before it is sent.
        least_coverage: least share of the needed shards, from 0 to 1, with
            which an answer is given.
        cut_after_s: time from the start of its run until ``cut_at_tail``
            answers if the least coverage is reached; 0 takes a multiple of the
            service's tail latency.
        hedge_quantile: quantile of the service's latencies after which an
            attempt counts as late.
        hedge_budget, retry_budget: shards that may be hedged, or retried, per
            shard that is asked for the first time.
        max_queue: queued queries of the service from which on a request must
            displace one or is rejected.
        refuse_late: whether a request is rejected if it is expected to miss
            its deadline.
        join_equal: whether a request joins an equal one in flight.
        share_answers: whether it also joins one of another caller.
    """

    name: str = attrs.field(validator=is_name)
    repeatable: bool = True
    priority: int = attrs.field(default=1, validator=in_range(0, 9))
    default_deadline_s: float = attrs.field(
        default=1.0, validator=in_range(0.001, 600)
    )
    max_deadline_s: float = attrs.field(
        default=30.0, validator=in_range(0.001, 600)
    )
    least_coverage: float = attrs.field(default=1.0, validator=in_range(0, 1))
    completion: str = attrs.field(
        default="wait_for_all", validator=_registered(completions)
    )
    cut_after_s: float = attrs.field(default=0.0, validator=in_range(0.0, 600))
    chooser: str = attrs.field(
        default="least_cost", validator=_registered(choosers)
    )
    hedge_quantile: float = attrs.field(
        default=0.98, validator=in_range(0.5, 1.0)
    )
    hedge_budget: float = attrs.field(default=0.05, validator=in_range(0, 1))
    retry_budget: float = attrs.field(default=0.1, validator=in_range(0, 10))
    max_attempts: int = attrs.field(default=4, validator=in_range(1, 100))
    max_refusals: int = attrs.field(default=16, validator=in_range(0, 1000))
    max_queue: int = attrs.field(default=200, validator=in_range(0, 100_000))
    refuse_late: bool = True
    share_answers: bool = False
    join_equal: bool = True

    def __attrs_post_init__(self):
        if self.default_deadline_s > self.max_deadline_s:
            raise ValueError("default_deadline_s: longer than max_deadline_s")
        if not self.repeatable and self.share_answers:
            raise ValueError(
                "share_answers: must be false unless repeatable is true"
            )


@attrs.frozen
class AllowedServer:
    """A backend server that may announce itself for the service.

    Attributes:
        connection_cap, slots: upper bounds on the values it announces.
    """

    name: str = attrs.field(validator=is_name)
    connection_cap: int = attrs.field(
        default=25, validator=in_range(1, 100_000)
    )
    slots: int = attrs.field(default=2, validator=in_range(1, 10_000))


@attrs.frozen
class Service:
    """A service, its permitted backend servers and its request classes."""

    name: str = attrs.field(validator=is_name)
    backend_servers: tuple[AllowedServer, ...] = attrs.field(
        validator=[unique_by(_name_of), at_most(MAX_BACKEND_SERVERS)]
    )
    request_classes: tuple[RequestClass, ...] = attrs.field(
        validator=[unique_by(_name_of), at_most(MAX_CLASSES)]
    )
    entries_per_service: int = attrs.field(
        default=2, validator=in_range(1, 1000)
    )
    adaptive_limit: bool = True

    def __attrs_post_init__(self):
        if not self.request_classes:
            raise ValueError("request_classes: empty, expected at least one")

    def request_class(self, name: str) -> RequestClass | None:
        """Returns the class of that name, or None."""
        return next((c for c in self.request_classes if c.name == name), None)


@attrs.frozen
class Document:
    """A complete configuration; it replaces the previous one as a whole.

    Attributes:
        entries: names of the instances that may serve callers; each holds
            one part of every connection cap, so that this list bounds the
            sum of connections.
        connection_places: parts into which each connection cap is divided;
            an entry holds one, and parts without an entry stay unused.
        silent_after_s: seconds without an announcement after which a backend
            server is dropped.
        ledger_window_s: seconds for which the ids of requests that run at
            most once are kept.
    """

    services: tuple[Service, ...] = attrs.field(
        default=(), validator=[unique_by(_name_of), at_most(MAX_SERVICES)]
    )
    entries: tuple[str, ...] = attrs.field(
        default=(), validator=[unique_by(str), at_most(MAX_ENTRIES)]
    )
    connection_places: int = attrs.field(
        default=10, validator=in_range(1, MAX_ENTRIES)
    )
    silent_after_s: float = attrs.field(
        default=3.0, validator=in_range(0.1, 600)
    )
    ledger_window_s: float = attrs.field(
        default=3600.0, validator=in_range(1, 7 * 86400)
    )

    def __attrs_post_init__(self):
        places = self.connection_places
        if len(self.entries) > places:
            raise ValueError(
                f"entries: {len(self.entries)} names, {places} places"
            )
        too_small = [
            f"{service.name}/{server.name}"
            for service in self.services
            for server in service.backend_servers
            if server.connection_cap < places
        ]
        if too_small:
            raise ValueError(
                f"connection_cap: less than {places} connection_places on "
                f"{', '.join(too_small[:5])}"
            )

    def service(self, name: str) -> Service | None:
        """Returns the service of that name, or None; searches linearly."""
        return next((s for s in self.services if s.name == name), None)


def parse_document(text: str | bytes) -> Document:
    """Parses a document from JSON text.

    Raises:
        DocumentError: lists every fault with its JSON path.
    """
    # Importing these modules fills the registries used for validation.
    from greengagemoor.query import choosers as query_choosers  # noqa: F401
    from greengagemoor.query import completion  # noqa: F401

    try:
        return json_conversion.decode_json(text, Document)
    except InvalidInputError as exc:
        raise DocumentError(exc.faults) from exc
