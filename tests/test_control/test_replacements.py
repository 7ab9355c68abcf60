"""Hypothesis test: machines of a control group are replaced in any order.

While a majority of the voters in the current list keep their disks, documents
that were acknowledged can be read within ``SERVES_AGAIN_S`` of the last fault,
and all running machines are voters within ``WHOLE_AGAIN_S`` after that.
"""

from __future__ import annotations

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from greengagemoor.codes import Code
from greengagemoor.control.client import Done
from tests.test_control.helpers import (
    Operator,
    is_gossip,
    is_voter,
    start_group,
)
from tests.test_control.test_state_machine import watch_leaders

SERVES_AGAIN_S = 12.0
WHOLE_AGAIN_S = 60.0
"""Six times the silence after which a voter may be removed."""
PICKS = st.integers(0, 1000)


class ReplacementMachine(RuleBasedStateMachine):
    """Replaces, wipes, cuts and kills machines; changes their seeds."""

    @initialize(size=st.sampled_from([3, 4, 5, 7]), seed=st.integers(1, 9))
    def begin(self, size, seed):
        names = tuple(f"c{n}" for n in range(1, size + 1))
        self.fleet = start_group(names, seed)
        self.fleet.loses = is_gossip
        self.fleet.founds_once = True
        self.operator = Operator(self.fleet)
        watch_leaders(self.fleet, {})
        self.machines = list(names)
        self.number = size
        self.applies = 0
        self.accepted = 0
        self.checked = 0

    def _pick(self, pick):
        return self.machines[pick % len(self.machines)]

    def _lists(self):
        """Returns each list of voters that a disk may hold as the newest."""
        for name in self.machines:
            node = self.fleet.nodes.get(name)
            if node is not None:
                yield node.control.state.voters
            disk = self.fleet.disks.get(name)
            if disk is None:
                continue
            for entry in disk.recovered().entries[-8:]:
                members = getattr(entry.command, "members", ())
                yield [m.member_id for m in members if m.voter]

    def _may_lose(self, name):
        """Whether a majority of each list keeps its disks without one."""
        kept = {
            f"{other}#{disk.identity}"
            for other, disk in self.fleet.disks.items()
            if other != name
        }
        lists = [voters for voters in self._lists() if voters]
        return bool(lists) and all(
            2 * len(kept.intersection(voters)) > len(voters) for voters in lists
        )

    def _stop(self, name):
        if name in self.fleet.nodes:
            self.fleet.kill(name)

    def _start(self, name):
        if name not in self.fleet.nodes:
            self.fleet.start(name)

    @rule(pick=PICKS, seeds=st.lists(PICKS, min_size=1, max_size=3))
    def replace(self, pick, seeds):
        """One is gone for good; another comes at another address."""
        lost = self._pick(pick)
        if not self._may_lose(lost):
            return
        self._stop(lost)
        self.fleet.lose_disk(lost)
        self.machines.remove(lost)
        self.number += 1
        named = sorted({self._pick(seed) for seed in seeds})
        self.machines.append(f"c{self.number}")
        self.fleet.add(f"c{self.number}", ("control",), group=tuple(named))

    @rule(pick=PICKS)
    def wipe(self, pick):
        """One loses its disk and comes back at its address."""
        name = self._pick(pick)
        if self._may_lose(name):
            self._stop(name)
            self.fleet.lose_disk(name)
            self._start(name)

    @rule(pick=PICKS)
    def kill(self, pick):
        self._stop(self._pick(pick))

    @rule(pick=PICKS)
    def start(self, pick):
        self._start(self._pick(pick))

    @rule()
    def lose_power(self):
        """All stop at the same moment and start again."""
        for name in self.machines:
            self._stop(name)
        for name in self.machines:
            self._start(name)

    @rule(pick=PICKS)
    def wipe_and_lose_power(self, pick):
        """One loses its disk while all others lose power."""
        name = self._pick(pick)
        if self._may_lose(name):
            self._stop(name)
            self.fleet.lose_disk(name)
            self.lose_power()

    @rule(pick=PICKS, one_way=st.booleans())
    def cut_off(self, pick, one_way):
        self.fleet.cut_off(self._pick(pick), one_way=one_way)

    @rule()
    def heal(self):
        self.fleet.heal()

    @rule(pick=PICKS, seeds=st.lists(PICKS, min_size=1, max_size=3))
    def change_seeds(self, pick, seeds):
        named = tuple(sorted({self._pick(seed) for seed in seeds}))
        self.fleet.reseed(self._pick(pick), named)

    @rule(drop=st.sampled_from([0.0, 0.0, 0.3]))
    def disturb(self, drop):
        self.fleet.drop_share = drop

    @rule(pick=PICKS)
    def apply(self, pick):
        name = self._pick(pick)
        if name not in self.fleet.nodes:
            return
        self.applies += 1
        machine = self.fleet.nodes[name].control.state.machine
        version = machine.documents.version
        self.operator.apply(name, f"a{self.applies}", version, self.applies, 3)

    @rule(seconds=st.sampled_from([0.003, 0.05, 0.4, 2.0, 12.0]))
    def run(self, seconds):
        self.fleet.run(seconds)

    @invariant()
    def note_accepted(self):
        if not hasattr(self, "fleet"):
            return
        done = self.fleet.replies(Done)
        for one in done[self.checked :]:
            if one.reply.code == Code.ACCEPTED:
                self.accepted = max(self.accepted, one.reply.version)
        self.checked = len(done)

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.drop_share = 0.0
        fleet.heal()
        for name in self.machines:
            self._start(name)
            fleet.reseed(name, tuple(self.machines[:3]))
        fleet.run_until(fleet.leader, most=SERVES_AGAIN_S)
        self.note_accepted()
        newest = self.accepted
        done = self.operator.wait(
            self.operator.read(fleet.leader(), wait=SERVES_AGAIN_S)
        )
        assert done.reply.code == Code.CURRENT
        assert done.reply.version >= newest
        fleet.run_until(self._is_whole, most=WHOLE_AGAIN_S)

    def _is_whole(self):
        """All that live vote; at most one dead vote, if it costs nothing."""
        if not all(is_voter(self.fleet, name) for name in self.machines):
            return False
        voters = self.fleet.nodes[self.fleet.leader()].control.state.voters
        dead = len(voters) - len(self.machines)
        return dead == 0 or (dead == 1 and len(voters) % 2 == 1)


TestReplacements = ReplacementMachine.TestCase
TestReplacements.settings = settings(
    max_examples=100,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    phases=(Phase.generate,),
)
