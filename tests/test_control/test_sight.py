"""Operators can see who votes, and who is outside and why."""

from __future__ import annotations

from greengagemoor.control.notices import JoinWaiting, MembersChanged
from tests.fakes import FakeFleet
from tests.test_control.helpers import GROUP, others, start_group


def notices(fleet, name, kind, since=0.0):
    """Returns a node's notices of a kind since a time."""
    return [
        msg
        for at, who, msg in fleet.out
        if who == name and at >= since and isinstance(msg, kind)
    ]


class TestMembersChanged:
    """Each change of the list is told once, by whoever goes by it."""

    def test_a_replaced_identity(self, fleet):
        leader = fleet.leader()
        lost = others(leader)[0]
        old = f"{lost}#{fleet.disks[lost].identity}"
        fleet.kill(lost)
        fleet.lose_disk(lost)
        since = fleet.now
        fleet.start(lost)
        fleet.run(5.0)
        new = f"{lost}#{fleet.disks[lost].identity}"
        told = notices(fleet, leader, MembersChanged, since)
        joined = [(m.joined, m.promoted, m.left) for m in told]
        assert joined[0] == ((new,), (), ())
        assert ((), (new,), ()) in joined
        assert ((), (), (old,)) in joined
        assert told[-1].voters == 3
        assert told[-1].majority == 2
        assert told[-1].learners == 0
        assert all(m.reason and m.term for m in told)

    def test_nothing_is_told_of_a_calm_group(self, fleet):
        since = fleet.now
        fleet.run(60.0)
        assert not any(
            notices(fleet, name, MembersChanged, since) for name in GROUP
        )


class TestJoinWaiting:
    """A process outside says whom it asked and why it is still outside."""

    def test_nobody_answers(self):
        """Bounded: 60 s are told in seven lines."""
        fleet = FakeFleet()
        fleet.add("c9", ("control",), group=("c9", "c1", "c2"))
        fleet.run(60.0)
        told = notices(fleet, "c9", JoinWaiting)
        assert 5 <= len(told) <= 8
        assert told[0].age_s <= 2.0
        assert {m.reason for m in told} == {"no_answer"}
        assert set(told[0].asked) <= {"c1", "c2"}

    def test_no_line_of_one_that_is_taken_in(self):
        fleet = start_group()
        since = fleet.now
        fleet.add("c4", ("control",), group=(*GROUP, "c4"))
        fleet.run(30.0)
        assert notices(fleet, "c4", JoinWaiting, since) == []


class TestGauges:
    """Voters, learners, silent voters and losses still borne."""

    def test_leader_tells_what_it_bears(self, fleet):
        leader = fleet.leader()
        status = fleet.nodes[leader].control.status
        assert status().gauges() == {
            "voters": 3,
            "learners": 0,
            "voters_silent": 0,
            "losses_borne": 1,
        }
        fleet.kill(others(leader)[0])
        fleet.run(2.0)
        assert status().gauges()["voters_silent"] == 1
        assert status().gauges()["losses_borne"] == 0

    def test_a_follower_tells_what_it_knows(self, fleet):
        follower = others(fleet.leader())[0]
        gauges = fleet.nodes[follower].control.status().gauges()
        assert gauges == {"voters": 3, "learners": 0}
