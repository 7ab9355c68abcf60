"""What the admission controller is told about a request, and its answer."""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class Load:
    """Request counts that a searcher reported with an answer."""

    running: int
    waiting: int
    slots: int


@values.frozen
class Offer:
    """A request that has arrived and of which nothing was sent yet.

    Attributes:
        route: name of its route.
        services: names of the services that it queries.
        rank: priority; 0 is the most urgent.
        account: name of the client account; '' if there is none.
        left_s: seconds until its objective.
        wait_s: seconds for which its caller still waits.
        waited_s: seconds for which its caller has waited before, in an earlier
            attempt.
        least_answers: number of services that must answer.
    """

    route: str
    services: tuple[str, ...]
    rank: int
    left_s: float
    wait_s: float
    account: str = ""
    waited_s: float = 0.0
    least_answers: int = 1


@values.frozen
class Rejection:
    """Why a request is refused, and when its caller should retry."""

    retry_after_s: float
    reason: str
