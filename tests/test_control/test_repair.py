"""Replacement of members that lost their disk or machine."""

from __future__ import annotations

from greengagemoor.codes import Code
from greengagemoor.control import election, replication
from greengagemoor.control.commands import ChangeMembers, Member
from greengagemoor.control.messages import InstallSnapshot
from greengagemoor.control.state import Progress
from tests.test_control.helpers import (
    Operator,
    followers,
    is_whole,
    start_group,
    versions,
)


class TestRepair:
    """A member that lost its disk rejoins as a new member."""

    def test_member_without_its_disk_does_not_vote(self, fleet, operator):
        """Guards against the loss of an accepted document after two failures.

        c1 and c2 have synced a change that c3 lacks. c1 loses its disk and
        restarts empty, and c2 is cut off. c1 and c3 are a majority; if the
        empty c1 voted, c3 would lead with a log that lacks the change.
        """
        leader = fleet.leader()
        holder, lacking = followers(leader)
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
        lost, last = followers(leader)
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
        lost, last = followers(leader)
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

    def test_member_without_the_whole_state_is_not_spare(
        self, fleet, operator, monkeypatch
    ):
        """Guards against a spare voter that is shown but not available.

        A member comes back without its disk and waits for the snapshot, which
        takes long. If it counted because it answers heartbeats, the members
        page would show a spare, and the next failure would stop the group.
        """
        monkeypatch.setattr(replication, "MIN_SNAPSHOT_INTERVAL", 10)
        monkeypatch.setattr(replication, "ENTRIES_KEPT_BEFORE_SNAPSHOT", 2)
        for number in range(25):
            operator.accept("c2", f"a{number}", number, number)
        leader = fleet.leader()
        lost = followers(leader)[0]
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

    def test_status_warns_when_a_further_loss_stops_the_group(self, fleet):
        leader = fleet.leader()
        assert fleet.nodes[leader].control.status().spare == 1
        fleet.kill(followers(leader)[0])
        fleet.run(2.0)
        status = fleet.nodes[leader].control.status()
        assert status.spare == 0
        assert status.warning == "a further loss stops the group"

    def test_empty_founder_does_not_found_a_second_group(self, fleet, operator):
        """Guards against a second group after the founder lost its disk.

        The founder restarts with the same settings. If its empty folder were
        taken for a new group, starting entries would get no document.
        """
        operator.accept("c1", "kept", 0, 1)
        group = fleet.nodes["c2"].control.state.group
        fleet.kill("c1")
        fleet.lose_disk("c1")
        fleet.start("c1")
        fleet.run_until(lambda: is_whole(fleet))
        assert fleet.nodes["c1"].control.state.group == group
        assert versions(fleet)["c1"] == 1


class TestReplacedElsewhere:
    """Machines that are lost for good and replaced at other addresses.

    Guards against votes of lost machines that stay in the member list. With
    three of five machines replaced one after another, five of eight votes
    would be needed, and the loss of one more machine would stop the group.
    """

    FIVE = ("c1", "c2", "c3", "c4", "c5")

    def replace(self, fleet, names, lost, new):
        """Replaces a lost machine with a new one; returns the new names."""
        fleet.kill(lost)
        fleet.lose_disk(lost)
        names = (*(name for name in names if name != lost), new)
        fleet.run(2.0)
        fleet.add(new, ("control",), group=names)
        fleet.run_until(lambda: is_whole(fleet, names))
        return names

    def test_three_in_turn_and_one_more_loss(self):
        fleet = start_group(self.FIVE)
        operator = Operator(fleet)
        operator.accept(fleet.leader(), "kept", 0, 1)
        names = self.FIVE
        for number, lost in enumerate(("c5", "c4", "c3"), 6):
            names = self.replace(fleet, names, lost, f"c{number}")
        fleet.kill(fleet.leader())
        fleet.run_until(fleet.leader)
        operator.accept(fleet.leader(), "more", 1, 2)

    def test_two_of_five_are_gone_and_one_more_loss(self):
        """Guards against two silent voters that both stay in a group of five.

        Removing a single silent voter from an odd number gains nothing. If
        two were kept for the same reason, a third loss would stop the group.
        """
        fleet = start_group(self.FIVE)
        operator = Operator(fleet)
        operator.accept(fleet.leader(), "kept", 0, 1)
        for lost in [n for n in self.FIVE if n != fleet.leader()][:2]:
            fleet.kill(lost)
            fleet.lose_disk(lost)
        fleet.run(15.0)
        fleet.kill(fleet.leader())
        fleet.run_until(fleet.leader, most=5.0)
        operator.accept(fleet.leader(), "more", 1, 2)

    def test_votes_of_lost_disks_are_removed_before_catch_up(self, monkeypatch):
        """Two of five lost their disks, and the snapshot takes long."""
        monkeypatch.setattr(replication, "MIN_SNAPSHOT_INTERVAL", 10)
        monkeypatch.setattr(replication, "ENTRIES_KEPT_BEFORE_SNAPSHOT", 2)
        fleet = start_group(self.FIVE)
        operator = Operator(fleet)
        for number in range(25):
            operator.accept("c2", f"a{number}", number, number)
        leader = fleet.leader()
        fleet.loses = lambda msg: isinstance(msg.payload, InstallSnapshot)
        for lost in [n for n in self.FIVE if n != leader][:2]:
            fleet.kill(lost)
            fleet.lose_disk(lost)
            fleet.start(lost)
        fleet.run(3.0)
        status = fleet.nodes[leader].control.status()
        assert (status.spare, status.gauges()["voters"]) == (1, 3)
        fleet.loses = None
        fleet.run_until(lambda: is_whole(fleet, self.FIVE))

    def test_silent_voter_of_an_odd_group_stays(self):
        fleet = start_group(self.FIVE)
        fleet.cut_off(next(n for n in self.FIVE if n != fleet.leader()))
        fleet.run(60.0)
        state = fleet.nodes[fleet.leader()].control.state
        assert len(state.voters) == 5

    def test_removed_voter_rejoins(self):
        """Guards against a member that asks for votes forever after a long cut.

        It keeps asking because no member sends it the list without it.
        """
        four = self.FIVE[:4]
        fleet = start_group(four)
        operator = Operator(fleet)
        follower = next(n for n in four if n != fleet.leader())
        fleet.cut_off(follower)
        fleet.run(60.0)
        leader = fleet.leader()
        assert len(fleet.nodes[leader].control.state.voters) == 3
        operator.accept(leader, "meanwhile", 0, 1)
        fleet.heal()
        fleet.run_until(lambda: is_whole(fleet, four))
        fleet.run(1.0)
        assert versions(fleet)[follower] == 1
        assert fleet.leader() == leader

    def test_removed_voter_rejoins_after_a_restart(self):
        four = self.FIVE[:4]
        fleet = start_group(four)
        follower = next(n for n in four if n != fleet.leader())
        fleet.kill(follower)
        fleet.run(60.0)
        fleet.start(follower)
        fleet.run_until(lambda: is_whole(fleet, four))

    def test_two_cut_off_voters_of_four_keep_their_votes(self):
        """Half of a group can't remove the other half."""
        four = self.FIVE[:4]
        fleet = start_group(four)
        for name in four[:2]:
            fleet.cut_off(name)
        fleet.run(60.0)
        fleet.heal()
        fleet.run_until(lambda: is_whole(fleet, four))


class TestLeaderWithoutItsOldDisk:
    """A leader removes the vote of its own earlier identity at once.

    Guards against a list that keeps both identities of an instance that lost
    its disk and now leads. If the leader waited for a reply of the newer
    identity, as it does for other instances, none would come, as it never
    replies to itself. The old identity would stay until it had been silent for
    ``Timing.retire``. Meanwhile only four of five votes could be given, so the
    group would tolerate one loss less than it reports.
    """

    FIVE = ("c1", "c2", "c3", "c4", "c5")

    def test_its_old_identity_is_removed_at_once(self):
        fleet = start_group(self.FIVE)
        leader = fleet.leader()
        state = fleet.nodes[leader].control.state
        old = Member(f"{leader}#before", leader, state.address, voter=True)
        members = (old, *state.members.values())
        election.append(state, ChangeMembers(members, time=state.now))
        state.set_members("test")
        state.progress[old.member_id] = Progress(
            next_index=state.log.last_index, last_ack=state.now
        )
        fleet.run(3 * state.timing.heartbeat)
        assert fleet.leader() == leader
        assert old.member_id not in state.members
