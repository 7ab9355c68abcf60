"""Hypothesis: a control group and its clients under random faults."""

from __future__ import annotations

from collections import Counter

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from greengagemoor.codes import Code, is_not_run
from greengagemoor.control.client import Done
from greengagemoor.membership.messages import Announce
from greengagemoor.query.messages import AttemptFailed, Failure, Reply, Request
from tests.fakes import FakeFleet, answer_to, server
from tests.test_control.helpers import GROUP, Operator, is_whole
from tests.test_node import start_fleet

ENTRIES = ("e1", "e2")
EVERYONE = (*GROUP, *ENTRIES)


def watch_leaders(fleet: FakeFleet, leaders: dict[int, str]) -> None:
    """Checks after every tick that each term has at most one leader."""
    deliver = fleet._deliver

    def watched(name, msgs):
        deliver(name, msgs)
        control = fleet.nodes[name].control
        if control and control.state.role.value == "leader":
            term = control.state.term
            known = leaders.setdefault(term, control.state.member_id)
            assert known == control.state.member_id, "two leaders of a term"

    fleet._deliver = watched


class ControlMachine(RuleBasedStateMachine):
    """Applies and claims while instances and the network fail."""

    def __init__(self):
        super().__init__()
        self.fleet = start_fleet(ENTRIES, GROUP)
        self.fleet.run(2.0)
        self.leaders: dict[int, str] = {}
        watch_leaders(self.fleet, self.leaders)
        self.operator = Operator(self.fleet)
        self.accepted: dict[int, str] = {}
        self.runs: Counter[str] = Counter()
        self.seen: dict[str, int] = {}
        self.booked: dict[int, str] = {}
        self.checked = 0
        self.tokens = 1000
        self.applies = 0
        self.answers = 0
        for name in "abc":
            self.fleet.searchers[name] = self._serve
        self.announce()

    def _serve(self, msg):
        """Runs every second attempt to its end; others time out after it."""
        if not msg.repeatable:
            self.runs[msg.request_id] += 1
        self.answers += 1
        if self.answers % 2:
            return 0.05, answer_to(msg)
        return 0.05, AttemptFailed(msg.attempt_id, Failure.TIMEOUT)

    @rule()
    def announce(self):
        for entry in ENTRIES:
            if entry in self.fleet.nodes:
                self.tokens += 1
                for name in "abc":
                    row = server(name, announced_to=ENTRIES)
                    self.fleet.put(
                        entry, Announce(self.tokens, row, self.tokens)
                    )

    @rule(seconds=st.sampled_from([0.003, 0.05, 0.7, 3.0]))
    def run(self, seconds):
        self.fleet.run(seconds)

    @rule(at=st.sampled_from(GROUP), behind=st.integers(0, 1))
    def apply(self, at, behind):
        if at not in self.fleet.nodes:
            return
        self.applies += 1
        machine = self.fleet.nodes[at].control.state.machine
        replaces = max(0, machine.documents.version - behind)
        apply_id = f"a{self.applies}"
        self.operator.apply(at, apply_id, replaces, self.applies, wait=3.0)

    @rule(changes=st.integers(2, 4))
    def change_on_both_sides(self, changes):
        """A leader that is cut off takes changes, and so do the others."""
        leader = self.fleet.leader()
        if not leader:
            return
        self.fleet.cut_off(leader)
        for _ in range(changes):
            self.apply(leader, 0)
        self.fleet.run(3.0)
        for name in GROUP:
            if name != leader:
                self.apply(name, 0)
        self.fleet.run(0.7)

    @rule(at=st.sampled_from(ENTRIES), number=st.integers(0, 3))
    def book(self, at, number):
        """Books, or sends the same booking again at another entry."""
        if at not in self.fleet.nodes:
            return
        self.tokens += 1
        request_id = f"{int(self.fleet.now) // 20 * 20000}-{number}"
        self.booked[self.tokens] = request_id
        request = Request(
            self.tokens,
            "atlas",
            "book",
            request_id,
            "s",
            repeatable=False,
            key="well",
        )
        self.fleet.put(at, request)

    @rule(name=st.sampled_from(EVERYONE), one_way=st.booleans())
    def cut_off(self, name, one_way):
        self.fleet.cut_off(name, one_way=one_way)

    @rule()
    def heal(self):
        self.fleet.heal()

    @rule(
        drop=st.sampled_from([0.0, 0.2]),
        double=st.sampled_from([0.0, 0.3]),
        jitter=st.sampled_from([0.0, 0.05]),
    )
    def disturb(self, drop, double, jitter):
        self.fleet.drop_share = drop
        self.fleet.double_share = double
        self.fleet.jitter = jitter

    @rule(name=st.sampled_from(EVERYONE))
    def kill(self, name):
        if name in self.fleet.nodes:
            self.fleet.kill(name)
            self.seen.pop(name, None)

    @rule(name=st.sampled_from(EVERYONE))
    def start(self, name):
        if name not in self.fleet.nodes:
            self.fleet.start(name)

    @rule(name=st.sampled_from(EVERYONE))
    def freeze(self, name):
        if name in self.fleet.nodes and name not in self.fleet.frozen:
            self.fleet.freeze(name)

    @rule()
    def thaw(self):
        for name in list(self.fleet.frozen):
            self.fleet.thaw(name)

    @precondition(lambda self: is_whole(self.fleet))
    @rule(name=st.sampled_from(GROUP))
    def lose_disk(self, name):
        """Loses one disk; the next only after the group is whole again."""
        if name in self.fleet.nodes:
            self.fleet.kill(name)
            self.seen.pop(name, None)
        self.fleet.lose_disk(name)

    @invariant()
    def accepted_documents_stay(self):
        for done in self.fleet.replies(Done)[self.checked :]:
            self.checked += 1
            if done.reply.code == Code.ACCEPTED and done.reply.winner:
                version = done.reply.version
                known = self.accepted.setdefault(version, done.reply.winner)
                assert known == done.reply.winner, "two winners of a version"
        for node in self.fleet.nodes.values():
            if node.control:
                winners = node.control.state.machine.documents._winners
                for version, winner in winners.items():
                    if version in self.accepted:
                        assert self.accepted[version] == winner

    @invariant()
    def documents_never_go_back(self):
        for name, node in self.fleet.nodes.items():
            version = node.membership.state.document_version
            assert version >= self.seen.get(name, 0)
            self.seen[name] = version

    @invariant()
    def committed_logs_are_equal(self):
        states = [
            node.control.state
            for node in self.fleet.nodes.values()
            if node.control
        ]
        for one in states:
            for other in states:
                index = min(one.commit, other.commit)
                terms = one.log.term_at(index), other.log.term_at(index)
                assert None in terms or terms[0] == terms[1]

    @invariant()
    def bookings_run_at_most_once(self):
        twice = [i for i, runs in self.runs.items() if runs > 1]
        assert not twice
        for reply in self.fleet.replies(Reply):
            request_id = self.booked.get(reply.token)
            if request_id is None:
                continue
            if reply.answer.code == Code.WHOLE:
                assert self.runs[request_id] == 1

    def teardown(self):
        """After all faults end, the group must serve again, with all kept."""
        self.fleet.drop_share = self.fleet.double_share = 0.0
        self.fleet.jitter = 0.0
        self.fleet.heal()
        self.thaw()
        for name in EVERYONE:
            self.start(name)
        self.fleet.run_until(self._serves, most=120.0)
        self.accepted_documents_stay()
        self.bookings_run_at_most_once()
        newest = max(self.accepted, default=0)
        token = self.operator.read("c1")
        assert self.operator.wait(token).reply.version >= newest
        self.fleet.run_until(self._all_caught_up, most=120.0)

    def _all_caught_up(self) -> bool:
        """Whether no member stays behind: a loss more could be borne again."""
        states = [
            node.control.state
            for node in self.fleet.nodes.values()
            if node.control
        ]
        return len({state.applied for state in states}) == 1

    def _serves(self) -> bool:
        return bool(self.fleet.leader()) and all(
            node.membership.state.confirmed
            and node.membership.state.control_ready
            for node in self.fleet.nodes.values()
        )


TestControlMachine = ControlMachine.TestCase
TestControlMachine.settings = settings(
    max_examples=120,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    phases=(Phase.generate,),
)


class TestNotRunIsTrue:
    """A booking answered "not run" may be sent again and runs once."""

    def test_resend_after_not_run_runs_once(self):
        fleet = start_fleet(ENTRIES, ("c1",))
        runs = Counter()

        def serve(msg):
            runs[msg.request_id] += 1
            return 0.01, answer_to(msg)

        refuse = {"on": True}

        def refuse_once(msg):
            if refuse.pop("on", False):
                return 0.01, AttemptFailed(msg.attempt_id, Failure.SHED)
            return serve(msg)

        for name in "abc":
            fleet.searchers[name] = refuse_once
        for name in "abc":
            row = server(name, announced_to=("e1",))
            fleet.put("e1", Announce(50, row, 1))
        fleet.run(1.0)
        booking = {"service": "s", "repeatable": False, "key": "w"}
        for token, entry in ((1, "e1"), (2, "e2")):
            request = Request(token, "atlas", "book", "1000-x", **booking)
            fleet.put(entry, request)
            fleet.run(0.5)
        codes = {r.token: r.answer.code for r in fleet.replies(Reply)}
        assert is_not_run(codes[1])
        assert codes[2] == Code.WHOLE
        assert runs == {"1000-x": 1}
