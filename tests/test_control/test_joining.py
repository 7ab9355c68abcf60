"""A process that can reach any one member becomes a member."""

from __future__ import annotations

from greengagemoor.codes import Code
from greengagemoor.control.joining import TARGETS_PER_ROUND, MAX_BACKOFF_FACTOR
from greengagemoor.control.joinmessages import JoinReply, JoinRequest
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
    """Two of five machines are replaced; then one disk and all power is lost.

    No read of the document was answered any more, although only one disk was
    lost at a time. The two machines that came as replacements had seeds that
    did not lead when they started. They asked these to be taken in, only a
    leader took anybody in, and the others said nothing of who leads. So both
    stood outside until the end while two dead votes of five stayed in the
    list, and with the lost disk two of five were left. In the log of one:

        5.261 event=disk_open member=10.1.0.28#86dec2797a9a4dfc entries=0
        5.261 event=role role=idle term=0 leader=""
        7.271 event=reload seeds=10.2.0.23:7680,10.3.0.28:7680,10.1.0.27:7680
        7.271 event=link_up peer=10.1.0.27
        94.338 event=disk_open member=10.1.0.28#86dec2797a9a4dfc entries=0

    10.1.0.27 led all that time: its link stood for 87 s and was never asked.
    """

    def replace(self, fleet, lost, new):
        """Loses a machine for good; another one comes, with stale seeds."""
        fleet.kill(lost)
        fleet.lose_disk(lost)
        fleet.run_until(lambda: fleet.leader() not in ("", lost))
        followers = [n for n in fleet.nodes if n not in (lost, fleet.leader())]
        add_newcomer(fleet, new, followers[:2])
        fleet.run(6.0)

    def test_what_was_acknowledged_can_be_read(self):
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
    """However little it knows at its start."""

    def test_seeds_that_do_not_lead(self):
        fleet = start_group(FIVE)
        seeds = [n for n in FIVE if n != fleet.leader()][:2]
        add_newcomer(fleet, "c6", seeds)
        fleet.run_until(lambda: is_voter(fleet, "c6"), most=3.0)

    def test_one_seed_and_a_cut_to_all_others(self):
        """It reaches one follower; its leader reaches it."""
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

    def test_a_seed_that_does_not_reach_its_leader(self):
        """It can't pass a request on; it can say who leads."""
        fleet = start_group(FIVE)
        leader = fleet.leader()
        seed = next(n for n in FIVE if n != leader)
        add_newcomer(fleet, "c6", [seed])
        fleet.cut.add((seed, leader))
        fleet.run_until(lambda: is_voter(fleet, "c6"), most=1.0)

    def test_one_that_is_gone_before_it_votes(self):
        """Nobody sends to it for ever."""
        fleet = start_group(FIVE)
        add_newcomer(fleet, "c6", FIVE)
        state = fleet.nodes[fleet.leader()].control.state
        fleet.cut.add(("c6", fleet.leader()))
        fleet.run(2.0)
        assert len(state.members) == 6
        fleet.kill("c6")
        fleet.run(2 * state.timing.retire)
        assert len(state.members) == 5

    def test_the_leader_changes_while_it_asks(self):
        """Also when the leader goes as soon as it has taken it in."""
        fleet = start_group(FIVE)
        leader = fleet.leader()
        seeds = [n for n in FIVE if n != leader][:2]
        add_newcomer(fleet, "c6", seeds)
        fleet.run(0.1)
        fleet.kill(leader)
        fleet.run_until(lambda: is_voter(fleet, "c6"), most=8.0)

    def test_two_of_five_are_gone(self):
        """No further loss is borne until newcomers vote."""
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

    def test_every_second_answer_is_lost(self):
        fleet = start_group(FIVE)
        fleet.drop_share = 0.5
        seeds = [n for n in FIVE if n != fleet.leader()][:2]
        add_newcomer(fleet, "c6", seeds)
        fleet.run_until(lambda: is_voter(fleet, "c6"), most=20.0)

    def test_how_soon(self):
        """In the list within three heartbeats of its first request."""
        for seed in range(1, 11):
            fleet = start_group(FIVE, seed)
            seeds = [n for n in FIVE if n != fleet.leader()][:2]
            add_newcomer(fleet, "c6", seeds)
            heartbeat = fleet.nodes["c6"].control.state.timing.heartbeat
            took = fleet.run_until(lambda f=fleet: is_voter(f, "c6"))
            assert took <= 3 * heartbeat

    def test_seeds_change_before_it_starts(self):
        """All that its settings named at first are gone."""
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

    def test_seeds_change_for_one_that_was_taken_out(self):
        """Cut off for a minute; all that it knew are replaced meanwhile."""
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

    def test_seeds_that_wait_themselves(self):
        """Two newcomers name each other, and one of them a member."""
        fleet = start_group(FIVE)
        seed = next(n for n in FIVE if n != fleet.leader())
        add_newcomer(fleet, "c6", ["c7"])
        add_newcomer(fleet, "c7", [seed, "c6"])
        fleet.run_until(
            lambda: is_voter(fleet, "c6") and is_voter(fleet, "c7"), most=5.0
        )


class TestSettingsNameOnlyItself:
    """It lost its disk, and the only seed of its settings is itself.

    It asked nobody, for ever, although the leader went on sending to it: the
    appends were for the identity that it had before, and were dropped without
    a look at who sent them. From its log:

        39.349 event=disk_open member=127.13.1.3#7ebae21093cdf7e5 entries=0
        40.358 event=join_waiting asked="" reason=no_answer age_s=1
        71.685 event=join_waiting asked="" reason=no_answer age_s=32.3
    """

    def test_it_asks_whoever_sends_to_its_old_identity(self):
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


class TestStorm:
    """Many outside cost the members little, and nothing goes in circles."""

    NUMBER = 300

    def test_nobody_leads(self):
        """300 ask five members that have no leader, and are told so."""
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

    def test_all_are_taken_in_by_few_changes(self):
        """They have no vote yet, so one change takes in all that wait."""
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

    def test_a_passed_on_request_stops_at_the_next(self):
        """Two that take each other for the leader send nothing in circles."""
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
