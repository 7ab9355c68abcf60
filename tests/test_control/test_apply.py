"""Applies: one winner, first results for ever, nothing accepted is lost."""

from __future__ import annotations

import json

import pytest

from greengagemoor.codes import Code
from greengagemoor.control import replication
from greengagemoor.control.messages import InstallSnapshot
from tests.fakes import story
from tests.test_control.helpers import (
    GROUP,
    Operator,
    is_whole,
    start_group,
    versions,
)


@pytest.fixture
def fleet():
    return start_group()


@pytest.fixture
def operator(fleet):
    return Operator(fleet)


def others(leader: str) -> list[str]:
    """Returns the control instances that do not lead."""
    return [name for name in GROUP if name != leader]


class TestRace:
    """Operators with competing changes at one version number."""

    def test_exactly_one_wins_and_the_other_learns_who(self, fleet, operator):
        """Two documents under one version.

        Symptom: half of the entries follow one document, half another.
        Sequence: two operators replace version 0 at two instances at once.
        Cause: each instance decides for itself.
        """
        tokens = [
            operator.apply("c1", "mine", 0, 1),
            operator.apply("c2", "theirs", 0, 2),
        ]
        results = [operator.wait(token).reply for token in tokens]
        codes = sorted(result.code for result in results)
        assert codes == [Code.ACCEPTED, Code.CONFLICT]
        winners = {result.winner for result in results}
        assert len(winners) == 1
        fleet.run(1.0)
        assert set(versions(fleet).values()) == {1}

    def test_invalid_document_is_refused_whole(self, fleet, operator):
        token = operator.apply("c1", "bad", 0, -5)
        reply = operator.wait(token).reply
        assert reply.code == Code.INVALID
        assert "silent_after_s" in reply.detail
        assert set(versions(fleet).values()) == {0}


class TestResend:
    """A resend of an apply id gets the first result."""

    @pytest.mark.parametrize("story_name", ["other", "leader", "restart"])
    def test_first_result(self, fleet, operator, story_name):
        """A change that is applied twice, or lost to its own sender.

        Symptom: an operator resends after a lost reply and is told that
        somebody else won.
        Sequence: the apply is accepted, the reply lost; another change
        follows; the same apply id is sent again.
        Cause: the result is not kept with the state.
        """
        operator.accept("c1", "first", 0, 1)
        operator.accept("c1", "second", 1, 2)
        if story_name == "leader":
            fleet.kill(fleet.leader())
        if story_name == "restart":
            for name in GROUP:
                fleet.kill(name)
            for name in GROUP:
                fleet.start(name)
        fleet.run_until(fleet.leader)
        at = next(name for name in reversed(GROUP) if name in fleet.nodes)
        reply = operator.wait(operator.apply(at, "first", 0, 1)).reply
        assert (reply.code, reply.version) == (Code.ACCEPTED, 1)

    def test_same_apply_through_two_instances_at_once(self, fleet, operator):
        tokens = [operator.apply(at, "same", 0, 1) for at in GROUP]
        for token in tokens:
            reply = operator.wait(token).reply
            assert (reply.code, reply.version) == (Code.ACCEPTED, 1)
        assert max(versions(fleet).values()) == 1

    def test_first_result_after_the_log_was_trimmed(
        self, fleet, operator, monkeypatch
    ):
        monkeypatch.setattr(replication, "SNAPSHOT_EVERY", 10)
        monkeypatch.setattr(replication, "KEPT_BEHIND_SNAPSHOT", 2)
        for number in range(25):
            operator.accept("c2", f"a{number}", number, number)
        leader = fleet.leader()
        assert fleet.nodes[leader].control.state.log.first_index > 15
        reply = operator.wait(operator.apply("c3", "a3", 3, 3)).reply
        assert (reply.code, reply.version) == (Code.ACCEPTED, 4)
        reply = operator.wait(operator.apply("c3", "late", 3, 9)).reply
        assert (reply.code, reply.winner) == (Code.CONFLICT, "a3")


class TestAcceptedIsForever:
    """What was accepted never reverts."""

    def test_leader_killed_right_after_accepting(self, fleet, operator):
        """An accepted document that is gone.

        Symptom: an operator was told "accepted", and the old document is in
        force again.
        Sequence: the leader accepts, tells so, and dies for good.
        Cause: "accepted" is said before a quorum has synced it.
        """
        leader = fleet.leader()
        operator.accept(leader, "kept", 0, 1)
        fleet.kill(leader)
        fleet.lose_disk(leader)
        fleet.run_until(fleet.leader)
        token = operator.read(others(leader)[0])
        reply = operator.wait(token).reply
        assert (reply.code, reply.version) == (Code.CURRENT, 1)

    def test_nothing_is_accepted_before_a_quorum_synced(self, fleet, operator):
        leader = fleet.leader()
        for name in others(leader):
            fleet.freeze(name)
        token = operator.apply(leader, "alone", 0, 1, wait=2.0)
        done = operator.wait(token)
        assert done.reply.code == Code.APPLY_UNKNOWN
        assert versions(fleet)[leader] == 0

    def test_cut_off_leader_answers_nothing_as_current(self, fleet, operator):
        """A stale answer that looks current.

        Symptom: an operator reads a document that was replaced an hour ago.
        Sequence: the leader is cut off; the others elect a new one and accept
        a change; the old leader is asked.
        Cause: a leader answers reads without asking a quorum.
        """
        old = fleet.leader()
        operator.accept(old, "before", 0, 1)
        fleet.cut_off(old)
        token = operator.read(old, wait=3.0)
        fleet.run_until(lambda: fleet.leader() not in ("", old))
        operator.accept(fleet.leader(), "after", 1, 2)
        reply = operator.wait(token).reply
        assert reply.code != Code.CURRENT
        fleet.run(600)
        stale = operator.apply(old, "stale", 1, 3, wait=1.0)
        assert operator.wait(stale).reply.code != Code.ACCEPTED
        fleet.heal()
        fleet.run(5.0)
        assert set(versions(fleet).values()) == {2}

    def test_frozen_leader_that_wakes_changes_nothing(self, fleet, operator):
        old = fleet.leader()
        token = operator.apply(old, "asleep", 0, 1, wait=30.0)
        fleet.freeze(old)
        fleet.run_until(lambda: fleet.leader() not in ("", old))
        new = fleet.leader()
        operator.accept(new, "awake", 0, 2)
        fleet.thaw(old)
        done = operator.wait(token)
        assert done.reply.code == Code.CONFLICT
        assert done.reply.winner == "awake"
        fleet.run(2.0)
        assert set(versions(fleet).values()) == {1}

    def test_without_a_quorum_not_accepted_is_definite(self, fleet, operator):
        for name in GROUP[1:]:
            fleet.kill(name)
        fleet.run(20.0)
        token = operator.apply("c1", "nobody", 0, 1, wait=1.0)
        done = operator.wait(token)
        assert done.reply.code == Code.NOT_ACCEPTED
        for name in GROUP[1:]:
            fleet.start(name)
        fleet.run(10.0)
        assert set(versions(fleet).values()) == {0}


class TestElections:
    """Elections are quiet, and a healed member does not disturb."""

    def test_no_leader_change_in_an_hour(self):
        fleet = start_group(pace=8)
        leader = fleet.leader()
        term = fleet.nodes[leader].control.state.term
        fleet.run(3600)
        assert fleet.leader() == leader
        assert fleet.nodes[leader].control.state.term == term

    def test_healed_member_does_not_unseat_the_leader(self, fleet):
        """A leader change at every healed cut.

        Symptom: applies fail for a second whenever a cut heals.
        Sequence: a follower is cut off, calls elections in vain, is healed.
        Cause: it comes back with a higher term.
        """
        leader = fleet.leader()
        term = fleet.nodes[leader].control.state.term
        lone = others(leader)[0]
        fleet.cut_off(lone)
        fleet.run(60.0)
        fleet.heal()
        fleet.run(5.0)
        assert fleet.leader() == leader
        assert fleet.nodes[leader].control.state.term == term


class TestRepair:
    """A member without its disk is a new member until it is whole again."""

    def test_amnesiac_does_not_vote(self, fleet, operator):
        """A vote of a member that forgot.

        Symptom: an accepted document is gone after two failures.
        Sequence: c1 and c2 have synced a change that c3 lacks; c1 loses its
        disk and restarts empty; c2 is cut off. c1 and c3 are a majority.
        Cause: an empty member votes for a log that lacks the change.
        """
        leader = fleet.leader()
        holder, lacking = others(leader)
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
        lost, last = others(leader)
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
        lost, last = others(leader)
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

    def test_member_without_the_whole_state_does_not_count(
        self, fleet, operator, monkeypatch
    ):
        """A loss that the group was said to bear.

        Symptom: the members page shows a spare; one instance fails, and the
        group stops.
        Sequence: a member comes back without its disk and is promoted while
        it still waits for the state, which takes long to reach it.
        Cause: whoever answers heartbeats counts.
        """
        monkeypatch.setattr(replication, "SNAPSHOT_EVERY", 10)
        monkeypatch.setattr(replication, "KEPT_BEHIND_SNAPSHOT", 2)
        for number in range(25):
            operator.accept("c2", f"a{number}", number, number)
        leader = fleet.leader()
        lost = others(leader)[0]
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

    def test_status_says_when_a_further_loss_stops_the_group(self, fleet):
        leader = fleet.leader()
        assert fleet.nodes[leader].control.status().spare == 1
        fleet.kill(others(leader)[0])
        fleet.run(2.0)
        status = fleet.nodes[leader].control.status()
        assert status.spare == 0
        assert status.warning == "a further loss stops the group"

    def test_empty_founder_does_not_found_a_second_group(self, fleet, operator):
        """A second, empty history.

        Symptom: entries that start fall back to no document at all.
        Sequence: the instance that founded the group loses its disk and
        restarts with the same settings.
        Cause: an empty folder is taken for a new group.
        """
        operator.accept("c1", "kept", 0, 1)
        group = fleet.nodes["c2"].control.state.group
        fleet.kill("c1")
        fleet.lose_disk("c1")
        fleet.start("c1")
        fleet.run_until(lambda: is_whole(fleet))
        assert fleet.nodes["c1"].control.state.group == group
        assert versions(fleet)["c1"] == 1


class TestShares:
    """Changes of entries that could break a connection cap are refused."""

    def test_names_and_places_in_one_lease(self):
        """A cap that is passed during a change.

        Symptom: searchers refuse connections after entries were replaced.
        Sequence: an entry that is cut off goes on under the old document,
        while the new one gives its part of the cap to another.
        Cause: parts change hands while the old holder may still use them.
        """
        fleet = start_group(pace=20)
        operator = Operator(fleet)
        first = json.dumps({"entries": ["e1", "e2"], "connection_places": 2})
        other = json.dumps({"entries": ["e1", "e3"], "connection_places": 2})
        operator.wait(apply_text(operator, "one", 0, first))
        refused = operator.wait(apply_text(operator, "two", 1, other)).reply
        assert refused.code == Code.INVALID
        assert "3 names were in force" in refused.detail
        fleet.run(10.0)
        fewer = json.dumps({"entries": ["e1"], "connection_places": 2})
        operator.wait(apply_text(operator, "three", 1, fewer))
        fleet.run(7300)
        reply = operator.wait(apply_text(operator, "four", 2, other)).reply
        assert reply.code == Code.ACCEPTED


def apply_text(operator: Operator, apply_id: str, replaces: int, text: str):
    """Applies this text at c1."""
    from greengagemoor.control.client import Ask
    from greengagemoor.control.commands import ApplyDocument
    from greengagemoor.control.messages import OpKind

    token = f"{apply_id}/{operator.fleet.now}"
    command = ApplyDocument(apply_id, replaces, text, 0.0)
    deadline = operator.fleet.now + 50
    operator.fleet.put("c1", Ask(token, OpKind.APPLY, deadline, command))
    return token


class TestSession:
    """Golden files of whole stories."""

    def test_race_and_leader_loss(self, fleet, operator, file_regression):
        fleet.out.clear()
        operator.apply("c1", "mine", 0, 1)
        operator.apply("c2", "theirs", 0, 2)
        fleet.run(0.3)
        fleet.kill(fleet.leader())
        fleet.run_until(fleet.leader)
        at = next(iter(fleet.nodes))
        operator.wait(operator.apply(at, "mine", 0, 1))
        file_regression.check(story(fleet))
