"""Evacuations of data centres in the replicated state."""

from __future__ import annotations

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from greengagemoor.codes import Code
from greengagemoor.control.client import OperationAbandoned, OperationRequest
from greengagemoor.control.commands import PutDocument, SetEvacuation
from greengagemoor.control.evacuation_table import EvacuationTable
from greengagemoor.control.evacuations import Evacuation, EvacuationView
from greengagemoor.control.messages import OpKind, OpRequest, Received
from greengagemoor.control.replicated_state import ReplicatedState
from greengagemoor.serving.operators import OPERATION_TIMEOUT_S
from tests.test_control.helpers import (
    GROUP,
    Operator,
    followers,
    is_whole,
    start_group,
)

PLACES = ("dc1", "dc2")
WAIT_S = 5.0


class Evacuator(Operator):
    """Sends evacuation commands and reads which evacuations are in force."""

    def submit(self, at, data_centre, *, active, wait=WAIT_S):
        """Sends a command; its result is under the returned token."""
        token = f"{data_centre}:{active}@{at}/{self.fleet.now}"
        table = self.fleet.nodes[at].control.state.machine.evacuations
        number = table.latest_number(data_centre)
        command = SetEvacuation(data_centre, active, number, 0.0)
        deadline = self.fleet.now + wait
        self._ask(
            at, OperationRequest(token, OpKind.EVACUATE, deadline, command)
        )
        return token

    def order(self, at, data_centre, *, active, wait=WAIT_S):
        """Sends a command, waits, and returns whether it was accepted."""
        token = self.submit(at, data_centre, active=active, wait=wait)
        return self.wait(token).reply.code == Code.ACCEPTED

    def active(self, at, wait=WAIT_S):
        """Returns the evacuated data centres, None without a quorum in time."""
        token = f"list@{at}/{self.fleet.now}"
        deadline = self.fleet.now + wait
        self._ask(at, OperationRequest(token, OpKind.READ_NUMBERED, deadline))
        reply = self.wait(token).reply
        if reply.code != Code.CURRENT:
            return None
        return {row.data_centre for row in reply.evacuations if row.active}


@pytest.fixture
def operator(fleet):
    return Evacuator(fleet)


def restart(fleet, names, *, wipe=False):
    for name in names:
        fleet.kill(name)
        if wipe:
            fleet.lose_disk(name)
    for name in names:
        fleet.start(name)


class TestTable:
    """The replicated state machine alone."""

    def set(self, table, active, replaces):
        return table.set(SetEvacuation("dc1", active, replaces, 0.0))

    def test_start_and_finish(self):
        table = EvacuationTable()
        assert self.set(table, True, 0).code is Code.ACCEPTED
        assert table.rows() == (Evacuation("dc1", 1, True),)
        assert self.set(table, False, 1).code is Code.ACCEPTED
        assert table.rows() == (Evacuation("dc1", 2, False),)

    def test_delayed_command_does_not_undo_a_later_one(self):
        """Guards against a delayed start that evacuates a data centre again."""
        table = EvacuationTable()
        self.set(table, True, 0)
        self.set(table, False, 1)
        assert self.set(table, True, 0).code is Code.CONFLICT
        assert not table.rows()[0].active

    def test_start_that_arrives_after_its_end_conflicts(self):
        """Guards against a start that takes effect after its end."""
        table = EvacuationTable()
        assert self.set(table, False, 0).code is Code.ACCEPTED
        assert self.set(table, True, 0).code is Code.CONFLICT

    def test_snapshot(self):
        machine = ReplicatedState()
        machine.apply(SetEvacuation("dc1", True, 0, 1.0))
        machine.apply(PutDocument(3, b"packed", 2.0))
        other = ReplicatedState()
        other.load(machine.save())
        assert other.evacuations.rows() == (Evacuation("dc1", 1, True),)
        assert other.numbered.number == 3


class TestView:
    """Evacuations as known by a process that receives them as rows."""

    def test_order_of_rows_does_not_matter(self):
        rows = (Evacuation("dc1", 1, True), Evacuation("dc1", 2, False))
        view = EvacuationView()
        assert view.merge(reversed(rows)) == rows[1:]
        assert view.active == frozenset()
        assert view.merge(rows) == ()


class TestGroup:
    """Commands sent to a group of three."""

    def test_commands_are_in_force_at_all_instances(self, fleet, operator):
        assert operator.order("c1", "dc1", active=True)
        assert operator.order("c2", "dc2", active=True)
        assert operator.active("c3") == {"dc1", "dc2"}
        assert operator.order("c3", "dc1", active=False)
        assert operator.active("c1") == {"dc2"}

    def test_repeated_command(self, fleet, operator):
        for at in GROUP:
            assert operator.order(at, "dc1", active=True)
        assert operator.active("c1") == {"dc1"}

    def test_two_operators_at_once(self, fleet, operator):
        """Guards against a command lost to a concurrent one."""
        tokens = [
            operator.submit(at, "dc1", active=active)
            for at, active in zip(GROUP, (True, False, True), strict=True)
        ]
        codes = {operator.wait(token).reply.code for token in tokens}
        assert codes == {Code.ACCEPTED}

    def test_conflicting_command_is_not_resubmitted_for_nobody(
        self, fleet, operator
    ):
        """Guards against a stale end that undoes a newer start."""
        leader = fleet.leader()
        other = followers(leader)[0]
        assert operator.order(leader, "dc1", active=True)
        fleet.run(1.0)
        stale = operator.submit(other, "dc1", active=False)
        fleet.cut_off(other)
        assert operator.order(leader, "dc1", active=False)
        assert operator.order(leader, "dc1", active=True)
        fleet.put(other, OperationAbandoned(stale))
        fleet.heal()
        assert operator.wait(stale).reply.code != Code.ACCEPTED
        fleet.run(2.0)
        assert operator.active(leader) == {"dc1"}

    @pytest.mark.parametrize("at_leader", [True, False])
    def test_command_at_an_instance_that_freezes(
        self, fleet, operator, at_leader
    ):
        """Guards against a stale end that an instance submits as it wakes."""
        leader = fleet.leader()
        follower, other = followers(leader)
        frozen = leader if at_leader else follower
        assert operator.order(leader, "dc1", active=True)
        fleet.run(1.0)
        fleet.freeze(frozen)
        stale = operator.submit(frozen, "dc1", active=False, wait=30.0)
        fleet.run(1.0)
        assert operator.order(other, "dc1", active=False, wait=10.0)
        assert operator.order(other, "dc1", active=True)
        fleet.put(frozen, OperationAbandoned(stale))
        fleet.run(0.1)
        fleet.thaw(frozen)
        fleet.run(3.0)
        assert operator.result(stale).reply.code != Code.ACCEPTED
        assert operator.active(other) == {"dc1"}

    def test_command_at_a_leader_that_is_cut_off(self, fleet, operator):
        """Guards against a command that takes effect after it failed."""
        leader = fleet.leader()
        fleet.cut_off(leader)
        lost = operator.submit(
            leader, "dc1", active=True, wait=OPERATION_TIMEOUT_S
        )
        fleet.run(1.0)
        other = followers(leader)[0]
        assert operator.order(other, "dc1", active=True, wait=10.0)
        assert operator.order(other, "dc1", active=False)
        fleet.heal()
        fleet.run(1.0)
        assert operator.result(lost).reply.code != Code.ACCEPTED
        assert operator.active("c1") == set()

    def test_delayed_request(self, fleet, operator):
        """Guards against a copy that arrives after the evacuation ended."""
        leader = fleet.leader()
        command = SetEvacuation("dc1", True, 0, 0.0)
        copy = OpRequest(9_999, OpKind.EVACUATE, command)
        assert operator.order(leader, "dc1", active=True)
        assert operator.order(leader, "dc1", active=False)
        fleet.put(leader, Received(followers(leader)[0], copy))
        fleet.run(1.0)
        assert operator.active(leader) == set()

    def test_restart_of_all_instances(self, fleet, operator):
        assert operator.order("c1", "dc1", active=True)
        restart(fleet, GROUP)
        fleet.run_until(lambda: is_whole(fleet))
        assert operator.active("c2") == {"dc1"}

    def test_lost_disk(self, fleet, operator):
        assert operator.order("c1", "dc1", active=True)
        restart(fleet, [fleet.leader()], wipe=True)
        fleet.run_until(lambda: is_whole(fleet))
        assert operator.active("c1") == {"dc1"}


class EvacuationMachine(RuleBasedStateMachine):
    """Orders while instances and the network fail; none is ever forgotten."""

    def __init__(self):
        super().__init__()
        self.fleet = start_group()
        self.operator = Evacuator(self.fleet)
        self.may_hold = {place: {False} for place in PLACES}
        self.unanswered = {place: [] for place in PLACES}

    @rule(
        at=st.sampled_from(GROUP),
        place=st.sampled_from(PLACES),
        active=st.booleans(),
        wait=st.sampled_from([0.3, 0.9, 3.0]),
    )
    def order(self, at, place, active, wait):
        if at not in self.fleet.nodes or at in self.fleet.frozen:
            return
        started_at = self.fleet.now
        if self.operator.order(at, place, active=active, wait=wait):
            # Orders whose callers still waited may hold instead.
            self.may_hold[place] = {active} | {
                other
                for deadline, other in self.unanswered[place]
                if deadline > started_at
            }
        else:
            self.may_hold[place] |= {active}

    @rule(
        at=st.sampled_from(GROUP),
        place=st.sampled_from(PLACES),
        active=st.booleans(),
        suspended=st.booleans(),
    )
    def order_without_waiting(self, at, place, active, suspended):
        """Submits an order beside others, also as the instance is suspended."""
        if at not in self.fleet.nodes:
            return
        if suspended and at not in self.fleet.frozen:
            self.fleet.freeze(at)
        self.operator.submit(at, place, active=active, wait=OPERATION_TIMEOUT_S)
        self.may_hold[place] |= {active}
        deadline = self.fleet.now + OPERATION_TIMEOUT_S
        self.unanswered[place].append((deadline, active))

    @rule(
        at=st.sampled_from(GROUP),
        place=st.sampled_from(PLACES),
        active=st.booleans(),
        how=st.sampled_from(["suspended", "cut off", "cut off one way"]),
    )
    def move_on(self, at, place, active, how):
        """Repeats an order elsewhere, then gives the opposite one."""
        if at not in self.fleet.nodes or at in self.fleet.frozen:
            return
        if how == "suspended":
            self.fleet.freeze(at)
        else:
            self.fleet.cut_off(at, one_way=how == "cut off one way")
        self.order_without_waiting(at, place, active, False)
        self.fleet.run(1.0)
        for other in GROUP:
            self.order(other, place, active, 3.0)
        for other in GROUP:
            self.order(other, place, not active, 0.9)
        self.resume(at)
        self.fleet.heal()
        self.fleet.run(0.7)
        self.read(next(name for name in GROUP if name != at))

    @rule(name=st.sampled_from(GROUP))
    def resume(self, name):
        if name in self.fleet.frozen:
            self.fleet.thaw(name)

    @rule(at=st.sampled_from(GROUP))
    def read(self, at):
        if at in self.fleet.nodes and at not in self.fleet.frozen:
            self.check(self.operator.active(at, wait=0.9))

    def check(self, active):
        if active is None:
            return
        for place in PLACES:
            assert (place in active) in self.may_hold[place]

    @rule(seconds=st.sampled_from([0.05, 0.7, 3.0]))
    def run(self, seconds):
        self.fleet.run(seconds)

    @rule(name=st.sampled_from(GROUP), one_way=st.booleans())
    def cut_off(self, name, one_way):
        self.fleet.cut_off(name, one_way=one_way)

    @rule()
    def heal(self):
        self.fleet.heal()

    @rule(drop=st.sampled_from([0.0, 0.2]), double=st.sampled_from([0.0, 0.3]))
    def disturb(self, drop, double):
        self.fleet.drop_share = drop
        self.fleet.double_share = double
        self.fleet.jitter = 0.05 if double else 0.0

    @rule(name=st.sampled_from(GROUP))
    def kill_and_start(self, name):
        if name in self.fleet.nodes:
            self.fleet.kill(name)
        else:
            self.fleet.start(name)

    @rule()
    def kill_all(self):
        restart(self.fleet, [n for n in GROUP if n in self.fleet.nodes])

    @precondition(lambda self: is_whole(self.fleet))
    @rule(name=st.sampled_from(GROUP))
    def lose_disk(self, name):
        """Loses one disk; the next only after the group is whole again."""
        restart(self.fleet, [name], wipe=True)

    def teardown(self):
        """After all faults end, what was acknowledged holds."""
        self.fleet.drop_share = self.fleet.double_share = 0.0
        self.fleet.jitter = 0.0
        self.fleet.heal()
        for name in list(self.fleet.frozen):
            self.fleet.thaw(name)
        for name in GROUP:
            if name not in self.fleet.nodes:
                self.fleet.start(name)
        self.fleet.run_until(lambda: is_whole(self.fleet), most=120.0)
        active = self.operator.active("c1")
        assert active is not None
        self.check(active)


TestEvacuationMachine = EvacuationMachine.TestCase
TestEvacuationMachine.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    phases=(Phase.generate,),
)
