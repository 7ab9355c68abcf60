"""Notices and gauges for operators: members and waiting joiners."""

from __future__ import annotations

from greengagemoor.control.notices import JoinPending, MembersChanged
from tests.fakes import FakeFleet
from tests.test_control.helpers import GROUP, followers, start_group


def notices(fleet, name, kind, since=0.0):
    """Returns an instance's notices of a kind since a time."""
    return [
        msg
        for at, who, msg in fleet.out
        if who == name and at >= since and isinstance(msg, kind)
    ]


class TestMembersChanged:
    """Each member reports each change of its member list once."""

    def test_a_replaced_identity(self, fleet):
        leader = fleet.leader()
        lost = followers(leader)[0]
        old = f"{lost}#{fleet.disks[lost].identity}"
        fleet.kill(lost)
        fleet.lose_disk(lost)
        since = fleet.now
        fleet.start(lost)
        fleet.run(5.0)
        new = f"{lost}#{fleet.disks[lost].identity}"
        reported = notices(fleet, leader, MembersChanged, since)
        joined = [(m.joined, m.promoted, m.left) for m in reported]
        assert joined[0] == ((new,), (), ())
        assert ((), (new,), ()) in joined
        assert ((), (), (old,)) in joined
        assert reported[-1].voters == 3
        assert reported[-1].majority == 2
        assert reported[-1].learners == 0
        assert all(m.reason and m.term for m in reported)

    def test_no_notice_from_a_stable_group(self, fleet):
        since = fleet.now
        fleet.run(60.0)
        assert not any(
            notices(fleet, name, MembersChanged, since) for name in GROUP
        )


class TestJoinWaiting:
    """A joiner reports whom it asked and why it still waits."""

    def test_notices_without_any_answer(self):
        """60 s of waiting give about seven notices."""
        fleet = FakeFleet()
        fleet.add("c9", ("control",), group=("c9", "c1", "c2"))
        fleet.run(60.0)
        reported = notices(fleet, "c9", JoinPending)
        assert 5 <= len(reported) <= 8
        assert reported[0].age_s <= 2.0
        assert {m.reason for m in reported} == {"no_answer"}
        assert set(reported[0].asked) <= {"c1", "c2"}

    def test_no_notice_for_a_prompt_join(self):
        fleet = start_group()
        since = fleet.now
        fleet.add("c4", ("control",), group=(*GROUP, "c4"))
        fleet.run(30.0)
        assert notices(fleet, "c4", JoinPending, since) == []


class TestGauges:
    """Voters, learners, silent voters and further losses tolerated."""

    def test_leader_reports_losses_borne(self, fleet):
        leader = fleet.leader()
        status = fleet.nodes[leader].control.status
        assert status().gauges() == {
            "voters": 3,
            "learners": 0,
            "voters_silent": 0,
            "losses_borne": 1,
        }
        fleet.kill(followers(leader)[0])
        fleet.run(2.0)
        assert status().gauges()["voters_silent"] == 1
        assert status().gauges()["losses_borne"] == 0

    def test_follower_reports_member_counts(self, fleet):
        follower = followers(fleet.leader())[0]
        gauges = fleet.nodes[follower].control.status().gauges()
        assert gauges == {"voters": 3, "learners": 0}
