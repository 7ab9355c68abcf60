"""Network partitions: tables diverge, and are equal again afterwards."""

from __future__ import annotations

from itertools import count

import pytest

from greengagemoor.codes import Code
from greengagemoor.membership.messages import Announce
from greengagemoor.membership.rows import InstanceState
from greengagemoor.query.messages import Reply, Request, ServerGone
from tests.fakes import answer_to, server
from tests.test_control.helpers import Operator
from tests.test_membership.helpers import (
    ENTRIES,
    roots,
    run_with_renewals,
    shown,
    start_entries,
    start_searchers,
)

ROUND_S = 0.5
MAX_ROUNDS_TO_CONVERGE = 60


@pytest.fixture
def fleet():
    return start_entries()


def instance_states(fleet, at: str) -> dict[str, InstanceState]:
    """Returns the states of the live instances in one instance's table."""
    table = fleet.nodes[at].membership.state.table
    return {name: row.state for name, row in table.live_instances.items()}


class TestPartition:
    """One way, both ways, flapping; long and short partitions."""

    @pytest.mark.parametrize("one_way", [True, False])
    @pytest.mark.parametrize("seconds", [20.0, 600.0])
    def test_views_are_equal_within_sixty_rounds(self, fleet, one_way, seconds):
        """Guards against two tables that persist after a partition.

        Each side marks the other as gone. If only live peers were probed, the
        sides would not merge, for example after a partition of an hour.
        """
        searchers = start_searchers(fleet)
        fleet.cut_off("e3", one_way=one_way)
        run_with_renewals(fleet, searchers.values(), seconds)
        fleet.heal()
        run_with_renewals(
            fleet, searchers.values(), MAX_ROUNDS_TO_CONVERGE * ROUND_S
        )
        assert len(roots(fleet)) == 1
        for entry in ENTRIES:
            assert shown(fleet, entry).keys() == {"a", "b", "c"}
            seen = instance_states(fleet, entry)
            assert seen["e3"] is InstanceState.READY

    def test_views_are_equal_after_flapping(self, fleet):
        searchers = start_searchers(fleet)
        for _ in range(20):
            fleet.cut_off("e2")
            run_with_renewals(fleet, searchers.values(), 2.0)
            fleet.heal()
            run_with_renewals(fleet, searchers.values(), 1.0)
        run_with_renewals(
            fleet, searchers.values(), MAX_ROUNDS_TO_CONVERGE * ROUND_S
        )
        assert len(roots(fleet)) == 1

    def test_watcher_with_renewals_overrules_the_others(self, fleet):
        """Guards against losing all searchers when a partition heals.

        e1 is partitioned off and still receives a searcher's renewals; the
        other watcher does not, and marks the searcher as lost. If e1 accepted
        that row afterwards, it would be without searchers for a second.
        """
        searchers = start_searchers(fleet, guardians=("e1", "e3"))
        fleet.cut_off("e1")
        renewals = count(searchers["a"].renewal + 1)

        def renew_at_e1() -> None:
            for name in "abc":
                row = server(name, announced_to=("e1", "e3"))
                fleet.put("e1", Announce(1, row, next(renewals)))
            fleet.run(1.0)

        for _ in range(20):
            renew_at_e1()
        assert shown(fleet, "e2") == {}
        fleet.heal()
        mark = len(fleet.out)
        for _ in range(MAX_ROUNDS_TO_CONVERGE // 2):
            renew_at_e1()
        assert len(shown(fleet, "e2")) == 3
        lost_at_e1 = [
            msg
            for _, name, msg in fleet.out[mark:]
            if name == "e1" and isinstance(msg, ServerGone)
        ]
        assert not lost_at_e1

    def test_killed_entry_is_marked_as_gone(self, fleet):
        fleet.kill("e2")
        fleet.run(10.0)
        assert "e2" not in instance_states(fleet, "e1")

    def test_one_bad_path_does_not_mark_as_gone(self, fleet):
        fleet.cut.add(("e1", "e2"))
        fleet.cut.add(("e2", "e1"))
        fleet.run(30.0)
        assert "e2" in instance_states(fleet, "e1")
        assert "e1" in instance_states(fleet, "e2")


class TestStaleEntry:
    """An entry without control serves queries and rejects claims."""

    def test_queries_go_on_and_claims_are_rejected_at_once(self, fleet):
        """Guards against lookups that fail because control is unavailable.

        The control group is gone while lookups and bookings arrive. Only
        bookings need it.
        """
        searchers = start_searchers(fleet)
        for name in "abc":
            fleet.searchers[name] = lambda msg: (0.01, answer_to(msg))
        fleet.kill("c1")
        run_with_renewals(fleet, searchers.values(), 10.0)
        asked_at = fleet.now
        fleet.put("e1", Request(1, "atlas", "read", "r", "s"))
        booking = Request(
            2, "atlas", "book", "1000-x", "s", repeatable=False, key="w"
        )
        fleet.put("e1", booking)
        fleet.run(0.1)
        replies = {r.token: r for r in fleet.replies(Reply)}
        assert replies[1].answer.code == Code.WHOLE
        assert replies[2].answer.code == Code.NOT_RUN_NO_CONTROL
        assert replies[2].answer.retry_after_s > 0
        assert fleet.now - asked_at < 1.0

    def test_restarted_entry_reads_from_a_quorum_before_it_serves(self, fleet):
        """Guards against serving under an outdated document after a restart.

        An entry restarts while its neighbours have not received an accepted
        change, so that a neighbour's document need not be current.
        """
        start_searchers(fleet)
        fleet.kill("e3")
        fleet.cut_off("c1")
        fleet.start("e3")
        fleet.run(10.0)
        state = fleet.nodes["e3"].membership.state
        assert state.document_version == 1
        assert state.me.state is InstanceState.STARTING
        assert not state.may_hold_shares
        fleet.heal()
        fleet.run(10.0)
        assert state.me.state is InstanceState.READY


class TestInForce:
    """An accepted document is in force at all entries within seconds."""

    def test_in_force_within_seconds_without_one_control_instance(self):
        fleet = start_entries(controls=("c1", "c2", "c3"))
        leader = fleet.leader()
        lost = next(n for n in ("c1", "c2", "c3") if n != leader)
        fleet.kill(lost)
        fleet.run(1.0)
        operator = Operator(fleet)
        operator.accept(leader, "next", 1, 1)

        def in_force():
            return all(
                fleet.nodes[e].membership.state.document_version == 2
                for e in ENTRIES
            )

        assert fleet.run_until(in_force) < 4.0
