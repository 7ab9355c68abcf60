"""Applies: one winner, first results for ever, nothing accepted is lost."""

from __future__ import annotations

import json

import pytest

from greengagemoor.codes import Code
from greengagemoor.control import replication
from tests.stories import story
from tests.test_control.helpers import (
    GROUP,
    Operator,
    others,
    start_group,
    versions,
)


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
