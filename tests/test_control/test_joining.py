"""A process that can reach any member becomes a member."""

from __future__ import annotations

from greengagemoor.codes import Code
from greengagemoor.control.join_messages import JoinReply, JoinRequest
from greengagemoor.control.joining import MAX_BACKOFF_FACTOR, TARGETS_PER_ROUND
from greengagemoor.control.messages import Received
from tests.test_control.helpers import (
    Operator,
    add_newcomer,
    is_gossip,
    is_voter,
    start_group,
)

FIVE = ("c1", "c2", "c3", "c4", "c5")


class TestReplacedOneByOne:
    """Two of five machines are replaced; then a disk and all power are lost.

    Guards against reads that fail for ever although only one disk is lost at a
    time. The seeds of the replacements are followers. If these ignored join
    requests and did not name the leader, the replacements would never join and
    two lost voters would stay in the list. After the next lost disk only two of
    five voters would be left.
    """

    def replace(self, fleet, lost, new):
        """Replaces a machine by one whose seeds are followers."""
        fleet.kill(lost)
        fleet.lose_disk(lost)
        fleet.run_until(lambda: fleet.leader() not in ("", lost))
        followers = [n for n in fleet.nodes if n not in (lost, fleet.leader())]
        add_newcomer(fleet, new, followers[:2])
        fleet.run(6.0)

    def test_acknowledged_document_can_be_read(self):
        fleet = start_group(FIVE)
        operator = Operator(fleet)
        self.replace(fleet, fleet.leader(), "c6")
        self.replace(fleet, fleet.leader(), "c7")
        operator.accept(fleet.leader(), "kept", 0, 1)
        names = list(fleet.nodes)
        wiped = next(n for n in FIVE if n in names and n != fleet.leader())
        for name in names:
            fleet.kill(name)
        fleet.lose_disk(wiped)
        for name in names:
            fleet.start(name)
        fleet.run_until(fleet.leader, most=12.0)
        reply = operator.wait(operator.read(fleet.leader())).reply
        assert (reply.code, reply.version) == (Code.CURRENT, 1)


class TestNewcomer:
    """A new instance joins with little knowledge of the group."""

    def test_seeds_that_do_not_lead(self):
        fleet = start_group(FIVE)
        seeds = [n for n in FIVE if n != fleet.leader()][:2]
        add_newcomer(fleet, "c6", seeds)
        fleet.run_until(lambda: is_voter(fleet, "c6"), most=3.0)

    def test_only_one_seed_is_reachable(self):
        """The newcomer reaches only one follower, but the leader reaches it."""
        fleet = start_group(FIVE)
        seed = next(n for n in FIVE if n != fleet.leader())
        add_newcomer(fleet, "c6", [seed])
        for name in FIVE:
            if name != seed:
                fleet.cut.add(("c6", name))
        fleet.run(1.0)
        assert "c6" in {m.instance for m in self.members(fleet)}

    def members(self, fleet):
        return fleet.nodes[fleet.leader()].control.state.members.values()

    def test_seed_is_cut_off_from_its_leader(self):
        """The seed cannot forward the request but names the leader."""
        fleet = start_group(FIVE)
        leader = fleet.leader()
        seed = next(n for n in FIVE if n != leader)
        add_newcomer(fleet, "c6", [seed])
        fleet.cut.add((seed, leader))
        fleet.run_until(lambda: is_voter(fleet, "c6"), most=1.0)

    def test_newcomer_is_lost_before_it_votes(self):
        """A silent learner is removed, so that sends to it end."""
        fleet = start_group(FIVE)
        add_newcomer(fleet, "c6", FIVE)
        state = fleet.nodes[fleet.leader()].control.state
        fleet.cut.add(("c6", fleet.leader()))
        fleet.run(2.0)
        assert len(state.members) == 6
        fleet.kill("c6")
        fleet.run(2 * state.timing.silence_timeout)
        assert len(state.members) == 5

    def test_the_leader_changes_while_it_asks(self):
        """The leader may stop right after it has added the newcomer."""
        fleet = start_group(FIVE)
        leader = fleet.leader()
        seeds = [n for n in FIVE if n != leader][:2]
        add_newcomer(fleet, "c6", seeds)
        fleet.run(0.1)
        fleet.kill(leader)
        fleet.run_until(lambda: is_voter(fleet, "c6"), most=8.0)

    def test_two_of_five_voters_are_lost(self):
        """No further loss is tolerated until the newcomers are voters."""
        fleet = start_group(FIVE)
        for lost in [n for n in FIVE if n != fleet.leader()][:2]:
            fleet.kill(lost)
            fleet.lose_disk(lost)
        seed = next(n for n in fleet.nodes if n != fleet.leader())
        add_newcomer(fleet, "c6", [seed])
        add_newcomer(fleet, "c7", [seed])
        fleet.run_until(
            lambda: is_voter(fleet, "c6") and is_voter(fleet, "c7"), most=3.0
        )
        assert fleet.nodes[fleet.leader()].control.status().spare >= 1

    def test_half_of_all_messages_are_lost(self):
        fleet = start_group(FIVE)
        fleet.drop_share = 0.5
        seeds = [n for n in FIVE if n != fleet.leader()][:2]
        add_newcomer(fleet, "c6", seeds)
        fleet.run_until(lambda: is_voter(fleet, "c6"), most=20.0)

    def test_votes_within_three_heartbeats(self):
        """The newcomer is a voter within three heartbeats of its start."""
        for seed in range(1, 11):
            fleet = start_group(FIVE, seed)
            seeds = [n for n in FIVE if n != fleet.leader()][:2]
            add_newcomer(fleet, "c6", seeds)
            heartbeat = fleet.nodes["c6"].control.state.timing.heartbeat
            took = fleet.run_until(lambda f=fleet: is_voter(f, "c6"))
            assert took <= 3 * heartbeat

    def test_seeds_change_before_it_starts(self):
        """All instances in the newcomer's first settings are gone."""
        fleet = start_group(FIVE)
        add_newcomer(fleet, "c6", ["gone-1", "gone-2"])
        fleet.kill("c6")
        fleet.reseed("c6", [n for n in FIVE if n != fleet.leader()][:1])
        fleet.start("c6")
        fleet.run_until(lambda: is_voter(fleet, "c6"), most=1.0)

    def test_seeds_change_while_it_asks(self):
        fleet = start_group(FIVE)
        add_newcomer(fleet, "c6", ["gone-1", "gone-2"])
        fleet.run(30.0)
        assert not is_voter(fleet, "c6")
        fleet.reseed("c6", [n for n in FIVE if n != fleet.leader()][:1])
        fleet.run_until(lambda: is_voter(fleet, "c6"), most=1.0)

    def test_seeds_change_for_a_removed_member(self):
        """All other members are replaced while this one is partitioned."""
        fleet = start_group(FIVE)
        lone = next(n for n in FIVE if n != fleet.leader())
        fleet.cut_off(lone)
        fleet.run(30.0)
        for number, lost in enumerate((n for n in FIVE if n != lone), 6):
            new = f"c{number}"
            left = [n for n in fleet.nodes if n not in (lone, lost)]
            add_newcomer(fleet, new, left[:2])
            fleet.run_until(lambda n=new: is_voter(fleet, n), most=5.0)
            fleet.kill(lost)
            fleet.lose_disk(lost)
            fleet.run(15.0)
        assert not is_voter(fleet, lone)
        fleet.heal()
        fleet.reseed(lone, ["c6"])
        fleet.run_until(lambda: is_voter(fleet, lone), most=5.0)

    def test_seeds_that_are_joining_too(self):
        """Two newcomers name each other, and one of them a member."""
        fleet = start_group(FIVE)
        seed = next(n for n in FIVE if n != fleet.leader())
        add_newcomer(fleet, "c6", ["c7"])
        add_newcomer(fleet, "c7", [seed, "c6"])
        fleet.run_until(
            lambda: is_voter(fleet, "c6") and is_voter(fleet, "c7"), most=5.0
        )


class TestSettingsNameOnlyItself:
    """An instance lost its disk, and its settings name only itself.

    Guards against an instance that never sends a join request although the
    leader keeps sending appends to it: they are addressed to its previous
    identity and discarded, so it must record their sender.
    """

    def test_asks_senders_to_its_previous_identity(self):
        fleet = start_group(FIVE)
        fleet.founds_once = True
        fleet.loses = is_gossip
        lost = next(n for n in FIVE if n != fleet.leader())
        for name in FIVE:
            fleet.reseed(name, (lost,))
        fleet.run(1.0)
        fleet.kill(lost)
        fleet.lose_disk(lost)
        fleet.start(lost)
        fleet.run_until(lambda: is_voter(fleet, lost), most=1.5)


class TestManyJoiners:
    """Many joiners cost the members little, and no request loops."""

    NUMBER = 300

    def test_requests_are_bounded_without_a_leader(self):
        """300 joiners ask a group of five that has no leader."""
        fleet = start_group(FIVE)
        for name in FIVE[:3]:
            fleet.kill(name)
        fleet.run(3.0)
        for number in range(self.NUMBER):
            add_newcomer(fleet, f"n{number}", FIVE)
        fleet.run(10.0)
        fleet.sent.clear()
        fleet.run(10.0)
        join = fleet.nodes["n0"].control.state.timing.join
        rounds = 10.0 / (join * MAX_BACKOFF_FACTOR) + 1
        most = self.NUMBER * rounds * (TARGETS_PER_ROUND + 1)
        assert fleet.sent[JoinRequest] <= most
        assert fleet.sent[JoinReply] <= most

    def test_joiners_are_added_by_few_changes(self):
        """Learners have no vote, so one change adds all that wait."""
        fleet = start_group(FIVE)
        leader = fleet.leader()
        seeds = [n for n in FIVE if n != leader][:3]
        state = fleet.nodes[leader].control.state
        before = state.log.last_index
        for number in range(30):
            add_newcomer(fleet, f"n{number}", seeds)
        fleet.run_until(lambda: len(state.members) == 35, most=1.0)
        promoted = len(state.voters) - len(FIVE)
        assert state.log.last_index - before - promoted <= 10

    def test_request_is_forwarded_once(self):
        """Two members that take each other for the leader do not loop."""
        fleet = start_group(FIVE)
        one, other = [n for n in FIVE if n != fleet.leader()][:2]
        for name, wrong in ((one, other), (other, one)):
            state = fleet.nodes[name].control.state
            state.leader = f"{wrong}#{fleet.disks[wrong].identity}"
        fleet.sent.clear()
        request = JoinRequest("n#1", "n", "n:1", round=1)
        fleet.put(one, Received("n", request))
        fleet.run(0.01)
        assert fleet.sent[JoinRequest] == 1
