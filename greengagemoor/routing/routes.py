"""The route table of a document: rules by host and path prefix."""

from __future__ import annotations

import enum
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from greengagemoor.errors import DocumentError
from greengagemoor.routing.accounts import (
    AccountIndex,
    ClientAccount,
    account_faults,
)
from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterator


class Grade(enum.Enum):
    """How often a request may be executed.

    A ``REPEATABLE`` request may be hedged and retried. A ``ONCE_PER_ATTEMPT``
    request is never hedged, and not retried once a searcher answered it or its
    connection broke after it was sent.
    """

    REPEATABLE = "repeatable"
    ONCE_PER_ATTEMPT = "once_per_attempt"


@values.frozen
class WeightedService:
    """One service of a split; it gets requests in proportion to its weight."""

    service: str
    weight: float = 1.0


@values.frozen
class Gather:
    """A query over several services, each of which is a shard.

    Attributes:
        top: maximum number of records in the answer.
        least_coverage: minimum share of shards, from 0 to 1, in an answer.
    """

    services: tuple[str, ...]
    top: int
    least_coverage: float


@values.frozen
class Route:
    """Rules for the requests of one host and path prefix.

    Attributes:
        time_limit_s: longest time that a request may take here.
        objective_s: target time; an answer within it is worth most to the
            caller.
        rank: priority; 0 is the most urgent.
        attempts: maximum number of searchers per service for one request.
        split: services to choose from; empty for a gather.
        public: requests need no key of a client account.
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
    public: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services that the route may use."""
        if self.gather is not None:
            return self.gather.services
        return tuple(part.service for part in self.split)


@values.frozen
class ServiceRules:
    """Rules for each searcher of a service.

    Attributes:
        connection_cap: most connections to a searcher, from all entries
            together.
        cold_for_s: warm-up time after a start.
        cold_per_s: most requests per second to a searcher that is warming up;
            0 for no limit.
    """

    name: str
    connection_cap: int
    cold_for_s: float = 0.0
    cold_per_s: float = 0.0


@values.frozen
class CallerLimits:
    """Limits on the requests of callers; times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@values.frozen
class RouteTable:
    """All routes of one document version.

    Attributes:
        accounts: the client accounts; None if the document defines none, so
            that requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceRules]
    limits: CallerLimits
    accounts: tuple[ClientAccount, ...] | None = None
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

    _account_index: AccountIndex = attrs.field(init=False, eq=False, repr=False)

    @_account_index.default
    def _index_accounts(self) -> AccountIndex:
        return AccountIndex(self.accounts or ())

    def account_for(self, key: str) -> ClientAccount | None:
        """Returns the client account that has the key."""
        return self._account_index.with_key(key)

    def account_named(self, name: str) -> ClientAccount | None:
        """Returns the client account of that name."""
        return self._account_index.named(name)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def check(table: RouteTable) -> None:
    """Checks constraints across several values of a document.

    Raises:
        DocumentError: the document must be rejected; lists all faults.
    """
    faults = [
        *_duplicate_routes(table),
        *_route_faults(table),
        *account_faults(table.accounts or ()),
    ]
    if faults:
        raise DocumentError(faults)


def _duplicate_routes(table: RouteTable) -> Iterator[str]:
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
            yield f"route {route.name}: has no service"
        if route.time_limit_s <= 0:
            yield f"route {route.name}: time limit must be above 0 s"
        if route.gather is None and sum(p.weight for p in route.split) <= 0:
            yield f"route {route.name}: sum of weights must be above 0"
        if any(part.weight < 0 for part in route.split):
            yield f"route {route.name}: each weight must be at least 0"
