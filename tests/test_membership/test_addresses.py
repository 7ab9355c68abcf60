"""Addresses: few entries per service, spread out, and never an empty list."""

from __future__ import annotations

import random

from greengagemoor.document import parse_document
from greengagemoor.membership.addresses import select_entries
from greengagemoor.membership.decider import MembershipDecider
from greengagemoor.membership.messages import Leave
from greengagemoor.membership.rows import InstanceRow, InstanceState
from tests.fakes import DOCUMENT
from tests.test_membership.helpers import (
    ENTRIES,
    run_with_renewals,
    shown,
    start_entries,
    start_searchers,
)

SERVICES = [f"service-{number}" for number in range(200)]


def row(number: int, state=InstanceState.READY, sequence=1) -> InstanceRow:
    """Returns an entry's row; entries are spread over three data centres."""
    return InstanceRow(
        name=f"e{number}",
        incarnation=1,
        sequence=sequence,
        state=state,
        peer_address="127.0.0.1:1",
        http_address="127.0.0.1:2",
        data_centre=f"dc{number % 3}",
        region="r1",
        roles=("entry",),
    )


def make_state(count: int = 9):
    """Returns a membership state with rows of some entries."""
    decider = MembershipDecider(row(0), {}, random.Random(1))
    decider.state.document = parse_document(DOCUMENT)
    for number in range(1, count):
        decider.state.merge_row(row(number))
    decider.state.merge_row(row(0, sequence=2))
    return decider.state


def entries_by_service(state) -> dict[str, list[str]]:
    """Returns the names of the entries, by service."""
    return {s: [r.name for r in select_entries(state, s)] for s in SERVICES}


class TestEntrySelection:
    """Rendezvous hashing over the entries that are ready."""

    def test_two_entries_in_two_data_centres(self):
        state = make_state()
        for service in SERVICES:
            chosen = select_entries(state, service)
            assert len(chosen) == 2
            assert len({r.data_centre for r in chosen}) == 2

    def test_spread_over_all_entries(self):
        state = make_state()
        used = [
            name
            for names in entries_by_service(state).values()
            for name in names
        ]
        counts = [used.count(f"e{n}") for n in range(9)]
        assert min(counts) > 0.4 * max(counts)

    def test_change_of_one_entry_moves_only_its_services(self):
        """Guards against all callers reconnecting when one entry restarts.

        If services were assigned to entries by position, one entry that leaves
        would change the addresses of every service.
        """
        state = make_state()
        before = entries_by_service(state)
        state.merge_row(row(4, InstanceState.LEAVING, sequence=2))
        after = entries_by_service(state)
        for service in SERVICES:
            if "e4" not in before[service]:
                assert after[service] == before[service]
            else:
                assert "e4" not in after[service]
                assert set(before[service]) & set(after[service])

    def test_addresses_are_never_empty(self):
        """Guards against an empty list of addresses while entries run.

        It would arise if doubtful entries were always left out, and a load
        spike overloads all of them or all are suspect.
        """
        state = make_state(3)
        for bad in (InstanceState.OVERLOADED, InstanceState.SUSPECT):
            for number in range(3):
                sequence = 3 if bad is InstanceState.OVERLOADED else 4
                state.merge_row(row(number, bad, sequence=sequence))
            assert len(select_entries(state, "s")) == 2

    def test_overloaded_are_left_out_while_others_are_ready(self):
        state = make_state(3)
        state.merge_row(row(1, InstanceState.OVERLOADED, sequence=2))
        for service in SERVICES:
            assert "e1" not in [r.name for r in select_entries(state, service)]


class TestLeaving:
    """An entry that leaves is removed from the addresses at once."""

    def test_all_entries_remove_it_within_a_second(self):
        fleet = start_entries()
        fleet.put("e1", Leave())
        fleet.run(1.0)
        for entry in ENTRIES:
            chosen = select_entries(fleet.nodes[entry].membership.state, "s")
            assert "e1" not in [r.name for r in chosen]


class TestCatchingUp:
    """A restarted entry is in the addresses once its table is complete."""

    def test_not_ready_before_the_table_is_complete(self):
        """Guards against rejections by an entry that just restarted.

        If an entry were ready as soon as it has read the document from a
        quorum, it would be in the addresses without its table, and for seconds
        after each restart answer that no backend server holds anything.
        """
        fleet = start_entries()
        searchers = start_searchers(fleet)
        fleet.kill("e3")
        run_with_renewals(fleet, searchers.values(), 2.0)
        fleet.start("e3")
        state = fleet.nodes["e3"].membership.state
        until = fleet.now + 10.0
        renew_at = fleet.now
        while fleet.now < until and state.me.state is not InstanceState.READY:
            if fleet.now >= renew_at:
                renew_at += 1.0
                run_with_renewals(fleet, searchers.values(), 0.001)
            fleet.run(0.001)
        assert state.me.state is InstanceState.READY
        assert len(shown(fleet, "e3")) == 3
        assert fleet.now < until - 5.0
