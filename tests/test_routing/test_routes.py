"""Lookup of routes, and documents that must be rejected."""

from __future__ import annotations

import attrs
import pytest

from greengagemoor.errors import DocumentError
from greengagemoor.routing.routes import (
    CallerLimits,
    RouteTable,
    ServiceRules,
    WeightedService,
    check,
)
from tests.test_forward.helpers import gather, single


def table(*routes):
    services = {f"s{i}": ServiceRules(f"s{i}", 10) for i in range(4)}
    return RouteTable(1, routes, services, CallerLimits())


class TestFind:
    """Routes are selected by host, then by the longest prefix."""

    TABLE = table(
        single(name="root", prefix="/"),
        single(name="long", prefix="/a/b/"),
        single(name="short", prefix="/a/"),
        single(name="other", host="o", prefix="/a/b/"),
    )

    @pytest.mark.parametrize(
        ("host", "path", "name"),
        [
            ("h", "/a/b/c", "long"),
            ("h", "/a/bc", "short"),
            ("h", "/x", "root"),
            ("o", "/a/b/", "other"),
        ],
    )
    def test_longest_prefix(self, host, path, name):
        assert self.TABLE.find(host, path).name == name

    def test_no_route(self):
        assert self.TABLE.find("o", "/x") is None
        assert self.TABLE.find("p", "/") is None


class TestCheck:
    """Each single fault rejects the document."""

    def test_valid(self):
        check(table(single(), gather(prefix="/all/")))

    @pytest.mark.parametrize(
        "routes",
        [
            (single(), single(name="again")),
            (single(split=(WeightedService("nobody"),)),),
            (single(split=()),),
            (single(split=(WeightedService("s0", 0.0),)),),
            (
                single(
                    split=(
                        WeightedService("s0", 2.0),
                        WeightedService("s1", -1.0),
                    )
                ),
            ),
            (single(time_limit_s=0.0),),
            (gather(shards=9),),
        ],
        ids=[
            "same place",
            "unknown service",
            "no service",
            "no weight",
            "negative weight",
            "no time",
            "unknown shard",
        ],
    )
    def test_each_fault(self, routes):
        with pytest.raises(DocumentError):
            check(table(*routes))

    def test_all_faults_are_listed(self):
        bad = attrs.evolve(single(), time_limit_s=0.0, split=())
        with pytest.raises(DocumentError) as info:
            check(table(bad))
        assert len(info.value.faults) == 3
