"""Elections are quiet; a member without its disk is repaired safely."""

from __future__ import annotations

from greengagemoor.codes import Code
from greengagemoor.control import replication
from greengagemoor.control.messages import AppendRequest, InstallSnapshot
from tests.test_control.helpers import (
    is_whole,
    others,
    start_group,
    versions,
)


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


class TestRepair:
    """A member without its disk is a new member until it is whole again."""

    def test_amnesiac_does_not_vote(self, fleet, operator):
        """A vote of a member that forgot.

        Symptom: an accepted document is gone after two failures.
        Sequence: c1 and c2 have synced a change that c3 lacks; c1 loses its
        disk and restarts empty; c2 is cut off. c1 and c3 are a majority.
        Cause: an empty member votes for a log that lacks the change.
        """
        leader = fleet.leader()
        holder, lacking = others(leader)
        fleet.freeze(lacking)
        operator.accept(leader, "kept", 0, 1)
        fleet.kill(leader)
        fleet.lose_disk(leader)
        fleet.cut_off(holder)
        fleet.thaw(lacking)
        fleet.start(leader)
        fleet.run(30.0)
        assert fleet.nodes[lacking].control.state.role.value != "leader"
        fleet.heal()
        fleet.run_until(lambda: is_whole(fleet))
        assert set(versions(fleet).values()) == {1}

    def test_second_failure_right_after_the_repair(self, fleet, operator):
        leader = fleet.leader()
        lost, last = others(leader)
        operator.accept(leader, "kept", 0, 1)
        fleet.kill(lost)
        fleet.lose_disk(lost)
        fleet.start(lost)
        fleet.run_until(lambda: is_whole(fleet))
        fleet.kill(leader)
        fleet.lose_disk(leader)
        fleet.run_until(lambda: fleet.leader() in (lost, last))
        reply = operator.wait(operator.read(last)).reply
        assert (reply.code, reply.version) == (Code.CURRENT, 1)

    def test_second_failure_during_the_repair(self, fleet, operator):
        leader = fleet.leader()
        lost, last = others(leader)
        operator.accept(leader, "kept", 0, 1)
        fleet.kill(lost)
        fleet.lose_disk(lost)
        fleet.start(lost)
        fleet.run(0.05)
        fleet.kill(last)
        fleet.run(10.0)
        fleet.start(last)
        fleet.run_until(lambda: is_whole(fleet))
        reply = operator.wait(operator.read(lost)).reply
        assert (reply.code, reply.version) == (Code.CURRENT, 1)

    def test_member_without_the_whole_state_does_not_count(
        self, fleet, operator, monkeypatch
    ):
        """A loss that the group was said to bear.

        Symptom: the members page shows a spare; one instance fails, and the
        group stops.
        Sequence: a member comes back without its disk and is promoted while
        it still waits for the state, which takes long to reach it.
        Cause: whoever answers heartbeats counts.
        """
        monkeypatch.setattr(replication, "SNAPSHOT_EVERY", 10)
        monkeypatch.setattr(replication, "KEPT_BEHIND_SNAPSHOT", 2)
        for number in range(25):
            operator.accept("c2", f"a{number}", number, number)
        leader = fleet.leader()
        lost = others(leader)[0]
        fleet.kill(lost)
        fleet.lose_disk(lost)
        fleet.loses = lambda msg: isinstance(msg.payload, InstallSnapshot)
        fleet.start(lost)
        fleet.run(5.0)
        status = fleet.nodes[leader].control.status()
        assert status.spare == 0
        fleet.loses = None
        fleet.run_until(lambda: is_whole(fleet))
        assert fleet.nodes[leader].control.status().spare == 1

    def test_status_says_when_a_further_loss_stops_the_group(self, fleet):
        leader = fleet.leader()
        assert fleet.nodes[leader].control.status().spare == 1
        fleet.kill(others(leader)[0])
        fleet.run(2.0)
        status = fleet.nodes[leader].control.status()
        assert status.spare == 0
        assert status.warning == "a further loss stops the group"

    def test_empty_founder_does_not_found_a_second_group(self, fleet, operator):
        """A second, empty history.

        Symptom: entries that start fall back to no document at all.
        Sequence: the instance that founded the group loses its disk and
        restarts with the same settings.
        Cause: an empty folder is taken for a new group.
        """
        operator.accept("c1", "kept", 0, 1)
        group = fleet.nodes["c2"].control.state.group
        fleet.kill("c1")
        fleet.lose_disk("c1")
        fleet.start("c1")
        fleet.run_until(lambda: is_whole(fleet))
        assert fleet.nodes["c1"].control.state.group == group
        assert versions(fleet)["c1"] == 1
