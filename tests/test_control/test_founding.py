"""Founding of a control group, also with a disk lost meanwhile."""

from __future__ import annotations

from greengagemoor.codes import Code
from greengagemoor.control.messages import AppendRequest
from tests.fakes import FakeFleet
from tests.test_control.helpers import GROUP, Operator, is_whole


def first_start(names=GROUP) -> FakeFleet:
    """Returns a fleet whose instances have just started for the first time.

    Only the first start of an instance may found a group: after a later start
    with an empty disk, it may have belonged to one.
    """
    fleet = FakeFleet()
    fleet.founds_once = True
    for name in names:
        fleet.add(name, ("control",), group=names)
    return fleet


def wipe(fleet: FakeFleet, name: str) -> None:
    """Kills an instance and restarts it with an empty disk."""
    fleet.kill(name)
    fleet.lose_disk(name)
    fleet.start(name)


class TestFounderLosesItsDisk:
    """Guards against a group that is lost with its founder's disk.

    If the founder is the only voter until the others have joined, it
    acknowledges a document alone. If it then loses its disk, it may not found a
    group any more, and the others wait for it to do so: reads fail for ever.
    """

    def test_acknowledged_document_is_kept(self):
        fleet = first_start()
        operator = Operator(fleet)
        token = operator.apply("c1", "early", 0, 1)
        while operator.result(token) is None:
            fleet.run(0.0005)
        assert operator.result(token).reply.code == Code.ACCEPTED
        wipe(fleet, "c1")
        fleet.run_until(lambda: is_whole(fleet), most=12.0)
        reply = operator.wait(operator.read("c2")).reply
        assert (reply.code, reply.version) == (Code.CURRENT, 1)

    def test_disk_lost_before_the_list_is_replicated(self):
        fleet = first_start()
        while not fleet.nodes["c1"].control.state.group:
            fleet.run(0.0005)
        for other in GROUP[1:]:
            assert not fleet.nodes[other].control.state.group
        wipe(fleet, "c1")
        fleet.run_until(lambda: is_whole(fleet), most=12.0)

    def test_disk_lost_and_then_all_killed(self):
        """The permission to found a group must survive a restart."""
        fleet = first_start()
        while not fleet.nodes["c1"].control.state.group:
            fleet.run(0.0005)
        wipe(fleet, "c1")
        for name in GROUP:
            fleet.kill(name)
        for name in GROUP:
            fleet.start(name)
        fleet.run_until(lambda: is_whole(fleet), most=12.0)

    def test_disk_lost_at_any_moment(self):
        """Every fourth of the first 400 steps of 0.5 ms is tried."""
        for moment in range(0, 400, 4):
            fleet = first_start()
            operator = Operator(fleet)
            token = operator.apply("c1", "early", 0, 1)
            fleet.run(moment * 0.0005)
            wipe(fleet, "c1")
            fleet.run_until(lambda f=fleet: is_whole(f), most=12.0)
            known = operator.result(token)
            accepted = known is not None and known.reply.code == Code.ACCEPTED
            reply = operator.wait(operator.read("c2")).reply
            assert reply.code == Code.CURRENT
            assert reply.version >= accepted, moment

    def test_two_of_three_lost_their_disks(self):
        """No group is founded, as the two may have belonged to one."""
        fleet = first_start()
        fleet.loses = lambda msg: (
            msg.to == "c3" and isinstance(msg.payload, AppendRequest)
        )
        operator = Operator(fleet)
        operator.accept("c1", "early", 0, 1)
        for name in GROUP[:2]:
            wipe(fleet, name)
        fleet.loses = None
        fleet.run(30.0)
        assert not fleet.nodes["c3"].control.state.group
        assert all(
            not fleet.nodes[name].control.state.group for name in GROUP[:2]
        )


class TestVoterWithoutTheList:
    """A voter that has no member list yet belongs to no group."""

    def test_vote_survives_a_restart(self):
        fleet = first_start()
        fleet.loses = lambda msg: isinstance(msg.payload, AppendRequest)
        fleet.run(2.0)
        voted = [n for n in GROUP[1:] if fleet.disks[n].recovered().hard]
        assert voted
        for name in GROUP:
            fleet.kill(name)
        fleet.loses = None
        for name in GROUP:
            fleet.start(name)
        fleet.run_until(lambda: is_whole(fleet), most=12.0)
