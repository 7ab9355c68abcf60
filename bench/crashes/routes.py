"""Routes of the simulated fleet."""

from __future__ import annotations

from greengagemoor.routing.routes import (
    Gather,
    Grade,
    Route,
    WeightedService,
)


def gather_route(services, least=0.75):
    """Returns a route that gathers from several services."""
    return Route(
        name="all",
        host="h",
        prefix="/all/",
        grade=Grade.REPEATABLE,
        time_limit_s=1.2,
        objective_s=0.25,
        rank=1,
        attempts=2,
        split=(),
        gather=Gather(tuple(services), 3, least),
    )


def single_route(service, grade=Grade.REPEATABLE):
    """Returns a route to one service."""
    return Route(
        name="one",
        host="h",
        prefix="/one/",
        grade=grade,
        time_limit_s=1.2,
        objective_s=0.25,
        rank=1,
        attempts=2 if grade is Grade.REPEATABLE else 1,
        split=(WeightedService(service),),
    )
