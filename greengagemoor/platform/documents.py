"""Decodes operators' documents in the platform's format."""

from __future__ import annotations

import json
from typing import Any

from greengagemoor.errors import DocumentError
from greengagemoor.platform import fields
from greengagemoor.routing.accounts import ClientAccount
from greengagemoor.routing.routes import (
    CallerLimits,
    Gather,
    Grade,
    Route,
    RouteTable,
    ServiceRules,
    WeightedService,
)

GRADES = {"safe": Grade.REPEATABLE, "unsafe": Grade.ONCE_PER_ATTEMPT}


def read_document(text: bytes) -> RouteTable:
    """Decodes a document.

    Raises:
        DocumentError: it can't be read in full.
    """
    try:
        return _table(json.loads(text))
    except KeyError as exc:
        raise DocumentError(
            [f"missing field or unknown value: {exc.args[0]}"]
        ) from exc
    except (
        ValueError,
        TypeError,
        AttributeError,
        RecursionError,
        OverflowError,
    ) as exc:
        raise DocumentError([f"malformed document: {exc}"]) from exc


def _table(data: dict[str, Any]) -> RouteTable:
    version = fields.integer(data["version"], minimum=1)
    services = [
        ServiceRules(
            fields.text(item["name"]),
            int(item["max-conns"]),
            cold_for_s=fields.number(item.get("cold-start-s", 0)),
            cold_per_s=fields.number(item.get("cold-per-s", 0)),
        )
        for item in data["services"]
    ]
    return RouteTable(
        version=version,
        routes=tuple(_route(item) for item in data["routes"]),
        services={rules.name: rules for rules in services},
        limits=_limits(data.get("limits") or {}),
        accounts=_accounts(data),
    )


def _accounts(data: dict[str, Any]) -> tuple[ClientAccount, ...] | None:
    # The platform's tenant is our client account.
    if data.get("tenants") is None:
        return None
    return tuple(_account(item) for item in data["tenants"])


def _account(item: dict[str, Any]) -> ClientAccount:
    rank = item.get("priority")
    return ClientAccount(
        name=fields.token(item["name"]),
        keys=tuple(fields.key(key) for key in item.get("api-keys") or ()),
        rank=None if rank is None else fields.integer(rank),
        rate_per_s=fields.number(item.get("rate-per-s") or 0),
        burst=fields.number(item.get("burst") or 0),
    )


def _route(item: dict[str, Any]) -> Route:
    return Route(
        name=fields.text(item["name"]),
        host=fields.text(item["hostname"]),
        prefix=fields.text(item["path-prefix"]),
        grade=GRADES[item["route-type"]],
        time_limit_s=fields.number(item["timeout-ms"]) / 1000,
        objective_s=fields.number(item["target-latency-ms"]) / 1000,
        rank=int(item.get("priority", 0)),
        attempts=int(item.get("max-attempts", 1)),
        split=_split(item),
        gather=_gather(item),
        public=fields.boolean(item.get("public", False)),
    )


def _split(item: dict[str, Any]) -> tuple[WeightedService, ...]:
    if item.get("backend"):
        return (WeightedService(fields.text(item["backend"])),)
    return tuple(
        WeightedService(
            fields.text(part.get("backend") or part["name"]),
            float(part["weight"]),
        )
        for part in item.get("traffic-split") or ()
    )


def _gather(item: dict[str, Any]) -> Gather | None:
    services = item.get("gather")
    if not services:
        return None
    return Gather(
        tuple(fields.text(name) for name in services),
        int(item["top-k"]),
        float(item["min-coverage"]),
    )


def _limits(data: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=int(data.get("max-header-bytes", default.header_bytes)),
        body_bytes=int(data.get("max-body-bytes", default.body_bytes)),
        header_timeout_s=data.get("header-timeout-ms", 3000) / 1000,
        idle_timeout_s=data.get("idle-timeout-ms", 15000) / 1000,
    )
