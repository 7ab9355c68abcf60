"""Hypothesis: tables converge, and servers that left do not come back."""

from __future__ import annotations

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from greengagemoor.backends import ServerState
from greengagemoor.membership.messages import Announce
from greengagemoor.membership.rows import ServerRow
from tests.fakes import server
from tests.test_membership.helpers import (
    ENTRIES,
    FakeSearcher,
    roots,
    shown,
    start_entries,
)

NAMES = ("a", "b", "c")
PAIRS = (("e1", "e2"), ("e2", "e3"), ("e1", "e3"))
SAYS = (ServerState.READY, ServerState.DRAINING, ServerState.GONE)


class MembershipMachine(RuleBasedStateMachine):
    """Searchers that come, go and repeat themselves, through cuts."""

    def __init__(self):
        super().__init__()
        self.fleet = start_entries()
        self.searchers = {
            name: FakeSearcher(self.fleet, name, PAIRS[0]) for name in NAMES
        }
        self.dead: set[str] = set()
        self.old: list[tuple[int, object]] = []
        self.gone: dict[tuple[str, str], tuple] = {}

    def _living(self):
        return [s for n, s in self.searchers.items() if n not in self.dead]

    @rule(seconds=st.sampled_from([0.01, 0.6, 2.0, 5.0]))
    def run(self, seconds):
        self.fleet.run(seconds)

    @rule()
    def renew(self):
        for searcher in self._living():
            searcher.announce()

    @rule(
        name=st.sampled_from(NAMES),
        state=st.sampled_from(SAYS),
        pair=st.sampled_from(PAIRS),
    )
    def say(self, name, state, pair):
        if name in self.dead:
            return
        searcher = self.searchers[name]
        if searcher.state is ServerState.GONE:
            return
        searcher.guardians = pair
        searcher.say(state)
        row = server(
            name,
            incarnation=searcher.incarnation,
            sequence=searcher.sequence,
            state=state,
            announced_to=pair,
        )
        self.old.append((searcher.renewal, row))

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        searcher = self.searchers[name]
        searcher.incarnation += 1
        searcher.sequence = 0
        self.dead.discard(name)
        searcher.say(ServerState.READY)

    @rule(name=st.sampled_from(NAMES))
    def die(self, name):
        self.dead.add(name)

    @rule(number=st.integers(0, 50), entry=st.sampled_from(ENTRIES))
    def repeat_old_word(self, number, entry):
        if self.old and entry in self.fleet.nodes:
            renewal, row = self.old[number % len(self.old)]
            self.fleet.put(entry, Announce(1, row, renewal))

    @rule(name=st.sampled_from(ENTRIES), one_way=st.booleans())
    def cut_off(self, name, one_way):
        self.fleet.cut_off(name, one_way=one_way)

    @rule()
    def heal(self):
        self.fleet.heal()

    @rule(name=st.sampled_from(ENTRIES))
    def kill(self, name):
        if name in self.fleet.nodes:
            self.fleet.kill(name)
            self.gone = {k: v for k, v in self.gone.items() if k[0] != name}

    @rule(name=st.sampled_from(ENTRIES))
    def start(self, name):
        if name not in self.fleet.nodes:
            self.fleet.start(name)

    @invariant()
    def what_left_stays_away(self):
        """Once a node knows that a server left, no older word shows it."""
        for node_name, node in self.fleet.nodes.items():
            for key, row in node.membership.state.table.rows.items():
                if not isinstance(row, ServerRow):
                    continue
                mark = (node_name, key)
                if row.server.state is ServerState.GONE:
                    self.gone[mark] = row.server.order
                elif mark in self.gone:
                    assert row.server.order > self.gone[mark]

    def teardown(self):
        """After all faults, all views are equal and true."""
        self.fleet.heal()
        for name in ENTRIES:
            self.start(name)
        for _ in range(40):
            self.renew()
            self.fleet.run(1.0)
        assert len(roots(self.fleet)) == 1
        expected = {
            searcher.name
            for searcher in self._living()
            if searcher.state is not ServerState.GONE
        }
        for entry in ENTRIES:
            assert shown(self.fleet, entry).keys() == expected


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    phases=(Phase.generate,),
)
