"""Leader stability, and repair of diverged logs."""

from __future__ import annotations

from greengagemoor.control.messages import AppendRequest
from tests.test_control.helpers import followers, start_group, versions


class TestElections:
    """Leaders do not change without need."""

    def test_no_leader_change_in_an_hour(self):
        fleet = start_group(pace=8)
        leader = fleet.leader()
        term = fleet.nodes[leader].control.state.term
        fleet.run(3600)
        assert fleet.leader() == leader
        assert fleet.nodes[leader].control.state.term == term

    def test_healed_member_does_not_unseat_the_leader(self, fleet):
        """Guards against applies that fail whenever a partition heals.

        A partitioned follower that raises its term in elections which it can't
        win deposes the leader when it returns.
        """
        leader = fleet.leader()
        term = fleet.nodes[leader].control.state.term
        lone = followers(leader)[0]
        fleet.cut_off(lone)
        fleet.run(60.0)
        fleet.heal()
        fleet.run(5.0)
        assert fleet.leader() == leader
        assert fleet.nodes[leader].control.state.term == term


class TestDivergence:
    """A member whose log ends in entries that were never committed."""

    def test_many_uncommitted_entries_are_replaced(self, fleet, operator):
        """Guards against the same entries being sent for ever.

        A partitioned leader appends several entries while the others elect a
        new leader and commit as many. If, after the heal, each rejection moves
        the next index back by one and the next send moves it forward again,
        the last matching entry is never reached.
        """
        old = fleet.leader()
        fleet.cut_off(old)
        for i in range(5):
            operator.apply(old, f"lost-{i}", 0, 50 + i)
        fleet.run_until(lambda: fleet.leader() not in ("", old))
        new = fleet.leader()
        for i in range(5):
            operator.accept(new, f"kept-{i}", i, i + 1)
        fleet.heal()
        fleet.sent.clear()
        fleet.run(3.0)
        assert set(versions(fleet).values()) == {5}
        appends = fleet.sent[AppendRequest]
        heartbeats = 3.0 / fleet.nodes[new].control.state.timing.heartbeat
        assert appends <= 2 * (heartbeats + 10)
