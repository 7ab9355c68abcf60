"""Connection shares: their sum never passes a cap."""

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
    """Returns what each entry holds of a searcher's cap."""
    return {
        name: msg.share
        for name, node in fleet.nodes.items()
        for msg in node.membership.state.shown.values()
        if msg.server.name == server
    }


class TestShares:
    """Fixed parts, whoever is thought to be alive."""

    def test_sum_stays_below_the_cap_through_disagreement(self):
        """A cap that is passed when views differ.

        Symptom: a searcher refuses connections after a cut.
        Sequence: two halves of the entries each think that the other is gone
        and divide the cap among themselves.
        Cause: parts depend on who is thought to be alive.
        """
        fleet = start_entries()
        start_searchers(fleet)
        fleet.cut_off("e3")
        fleet.run(2.0)
        assert shares(fleet, "a")["e3"] == CAP // PLACES
        assert sum(shares(fleet, "a").values()) <= CAP

    def test_entry_outside_the_document_holds_nothing(self):
        fleet = start_entries()
        searchers = start_searchers(fleet)
        fleet.add("e9", ("entry",), group=("c1",))
        run_with_renewals(fleet, searchers.values(), 5.0)
        assert shares(fleet, "a")["e9"] == 0
        state = fleet.nodes["e9"].membership.state.me.state
        assert state.value == "starting"

    def test_process_without_control_gives_its_shares_up(self):
        """An old share beside a new one, hours later.

        Symptom: a cap is passed long after a change of entries.
        Sequence: an entry is cut off from control for hours and goes on with
        the share of a document that was replaced.
        Cause: a share without an end.
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

    def test_removed_entry_gives_its_share_up(self):
        fleet = start_entries()
        start_searchers(fleet)
        Operator(fleet).accept("c1", "fewer", 1, 1)
        fleet.run(3.0)
        assert fleet.nodes["e2"].membership.state.shown == {}
