"""Elections are quiet; a log that differs is brought in line."""

from __future__ import annotations

from greengagemoor.control.messages import AppendRequest
from tests.test_control.helpers import others, start_group, versions


class TestElections:
    """Elections are quiet, and a healed member does not disturb."""

    def test_no_leader_change_in_an_hour(self):
        fleet = start_group(pace=8)
        leader = fleet.leader()
        term = fleet.nodes[leader].control.state.term
        fleet.run(3600)
        assert fleet.leader() == leader
        assert fleet.nodes[leader].control.state.term == term

    def test_healed_member_does_not_unseat_the_leader(self, fleet):
        """A leader change at every healed cut.

        Symptom: applies fail for a second whenever a cut heals.
        Sequence: a follower is cut off, calls elections in vain, is healed.
        Cause: it comes back with a higher term.
        """
        leader = fleet.leader()
        term = fleet.nodes[leader].control.state.term
        lone = others(leader)[0]
        fleet.cut_off(lone)
        fleet.run(60.0)
        fleet.heal()
        fleet.run(5.0)
        assert fleet.leader() == leader
        assert fleet.nodes[leader].control.state.term == term


class TestDivergence:
    """A member whose log ends in entries that were never committed."""

    def test_many_uncommitted_entries_are_replaced(self, fleet, operator):
        """Two instances sent each other the same entries for ever.

        Symptom: 0.66 GB between data centres in a minute, and one instance
        behind for good. Sequence: a leader is cut off and appends several
        changes; the others elect another and commit as many; the cut heals.
        Cause: each refusal took one entry back, and the send after it put
        that entry forward again, so the entry before it was never reached.
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
