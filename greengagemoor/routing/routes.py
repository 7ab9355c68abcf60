"""The route table of one document: hosts and prefixes to rules."""

from __future__ import annotations

import enum
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from greengagemoor.errors import DocumentError
from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterator


class Grade(enum.Enum):
    """How often a request may run."""

    REPEATABLE = "repeatable"
    ONCE_PER_ATTEMPT = "once_per_attempt"


@values.frozen
class WeightedService:
    """One part of a split; requests go to it in proportion to its weight."""

    service: str
    weight: float = 1.0


@values.frozen
class Gather:
    """A query over several services, each of them one shard.

    Attributes:
        top: how many records the answer has at most.
        least_coverage: smallest share of shards that makes an answer.
    """

    services: tuple[str, ...]
    top: int
    least_coverage: float


@values.frozen
class Route:
    """Rules for the requests of one host and path prefix.

    Attributes:
        time_limit_s: longest time that a request may take here.
        objective_s: an answer within it is worth most to the caller.
        rank: 0 is the most urgent.
        attempts: most searchers, of each service, for one request.
        split: services to choose from; empty for a gather.
    """

    name: str
    host: str
    prefix: str
    grade: Grade
    time_limit_s: float
    objective_s: float
    rank: int
    attempts: int
    split: tuple[WeightedService, ...] = ()
    gather: Gather | None = None

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services that the route may use."""
        if self.gather is not None:
            return self.gather.services
        return tuple(part.service for part in self.split)


@values.frozen
class ServiceRules:
    """What holds for each searcher of a service.

    Attributes:
        cold_for_s: how long one is cold after its start.
        cold_per_s: requests a second that a cold one bears; 0 for no bound.
    """

    name: str
    connection_cap: int
    cold_for_s: float = 0.0
    cold_per_s: float = 0.0


@values.frozen
class CallerLimits:
    """Bounds on what callers send; times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@values.frozen
class RouteTable:
    """All routes of one document version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceRules]
    limits: CallerLimits
    _by_host: dict[str, tuple[Route, ...]] = attrs.field(
        init=False, eq=False, repr=False
    )

    @_by_host.default
    def _index(self) -> dict[str, tuple[Route, ...]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
            for host, routes in by_host.items()
        }

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def check(table: RouteTable) -> None:
    """Checks what no single value shows.

    Raises:
        DocumentError: with every fault; the document must not be accepted.
    """
    faults = [*_double_routes(table), *_route_faults(table)]
    if faults:
        raise DocumentError(faults)


def _double_routes(table: RouteTable) -> Iterator[str]:
    counts = Counter((route.host, route.prefix) for route in table.routes)
    for (host, prefix), number in counts.items():
        if number > 1:
            yield f"{number} routes for {host}{prefix}"


def _route_faults(table: RouteTable) -> Iterator[str]:
    for route in table.routes:
        unknown = [s for s in route.services if s not in table.services]
        if unknown:
            yield f"route {route.name}: unknown services {unknown[:3]}"
        if not route.services:
            yield f"route {route.name}: no service"
        if route.time_limit_s <= 0:
            yield f"route {route.name}: a time limit of 0"
        if route.gather is None and sum(p.weight for p in route.split) <= 0:
            yield f"route {route.name}: the weights add up to 0"
        if any(part.weight < 0 for part in route.split):
            yield f"route {route.name}: a negative weight"
