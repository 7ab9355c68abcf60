"""Connection shares: their sum never exceeds a cap."""

from __future__ import annotations

from greengagemoor.control.documents import SHARE_LEASE_S
from tests.test_control.helpers import Operator
from tests.test_membership.helpers import (
    ENTRIES,
    run_with_renewals,
    start_entries,
    start_searchers,
)

CAP = 25
PLACES = 10


def shares(fleet, server: str) -> dict[str, int]:
    """Returns the share of a searcher's cap, by entry."""
    return {
        name: msg.share
        for name, node in fleet.nodes.items()
        for msg in node.membership.state.shown.values()
        if msg.server.name == server
    }


class TestShares:
    """Fixed shares, whichever entries are considered live."""

    def test_sum_stays_within_the_cap_with_differing_views(self):
        """Guards against exceeding a cap when tables differ.

        In a partition, each half of the entries marks the other as gone. If
        shares depended on the live entries, each half would divide the whole
        cap among itself, and searchers would refuse connections.
        """
        fleet = start_entries()
        start_searchers(fleet)
        fleet.cut_off("e3")
        fleet.run(2.0)
        assert shares(fleet, "a")["e3"] == CAP // PLACES
        assert sum(shares(fleet, "a").values()) <= CAP

    def test_entry_outside_the_document_holds_no_share(self):
        fleet = start_entries()
        searchers = start_searchers(fleet)
        fleet.add("e9", ("entry",), group=("c1",))
        run_with_renewals(fleet, searchers.values(), 5.0)
        assert shares(fleet, "a")["e9"] == 0
        state = fleet.nodes["e9"].membership.state.me.state
        assert state.value == "starting"

    def test_entry_without_control_gives_up_its_shares(self):
        """Guards against an outdated share that is used beside a new one.

        An entry is cut off from control for hours. If its share did not
        expire, it would keep that of a replaced document, and the sum would
        exceed the cap.
        """
        fleet = start_entries()
        searchers = start_searchers(fleet)
        fleet.kill("c1")
        state = fleet.nodes["e1"].membership.state
        run_with_renewals(fleet, searchers.values(), 5.0)
        assert state.may_hold_shares
        state.fresh_at -= SHARE_LEASE_S
        state.read_at -= SHARE_LEASE_S
        fleet.run(1.0)
        assert not state.may_hold_shares
        assert set(shares(fleet, "a")) >= set(ENTRIES)
        assert shares(fleet, "a")["e1"] == 0

    def test_removed_entry_gives_up_its_share(self):
        fleet = start_entries()
        start_searchers(fleet)
        Operator(fleet).accept("c1", "fewer", 1, 1)
        fleet.run(3.0)
        assert fleet.nodes["e2"].membership.state.shown == {}
