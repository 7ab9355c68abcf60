"""Applies: one winner per version, stable results, durable acceptance."""

from __future__ import annotations

import json

import pytest

from greengagemoor.codes import Code
from greengagemoor.control import replication
from tests.output_text import format_output
from tests.test_control.helpers import (
    GROUP,
    Operator,
    followers,
    start_group,
    versions,
)


class TestRace:
    """Competing changes that replace the same version."""

    def test_exactly_one_wins_and_the_other_gets_its_id(self, fleet, operator):
        """Guards against two documents with one version number.

        Two operators replace version 0 at two instances at the same time. If
        each instance decided alone, entry instances would use different
        documents.
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

    def test_invalid_document_is_rejected(self, fleet, operator):
        token = operator.apply("c1", "bad", 0, -5)
        reply = operator.wait(token).reply
        assert reply.code == Code.INVALID
        assert "silent_after_s" in reply.detail
        assert set(versions(fleet).values()) == {0}


class TestResend:
    """A resend of an apply id returns the first result."""

    @pytest.mark.parametrize("scenario", ["other", "leader", "restart"])
    def test_first_result(self, fleet, operator, scenario):
        """Guards against a false conflict for an accepted apply.

        The reply to an accepted apply is lost, another change follows, and
        the operator sends the first apply id again. The result must be kept
        with the replicated state.
        """
        operator.accept("c1", "first", 0, 1)
        operator.accept("c1", "second", 1, 2)
        if scenario == "leader":
            fleet.kill(fleet.leader())
        if scenario == "restart":
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
        monkeypatch.setattr(replication, "MIN_SNAPSHOT_INTERVAL", 10)
        monkeypatch.setattr(replication, "ENTRIES_KEPT_BEFORE_SNAPSHOT", 2)
        for number in range(25):
            operator.accept("c2", f"a{number}", number, number)
        leader = fleet.leader()
        assert fleet.nodes[leader].control.state.log.first_index > 15
        reply = operator.wait(operator.apply("c3", "a3", 3, 3)).reply
        assert (reply.code, reply.version) == (Code.ACCEPTED, 4)
        reply = operator.wait(operator.apply("c3", "late", 3, 9)).reply
        assert (reply.code, reply.winner) == (Code.CONFLICT, "a3")


class TestAcceptedIsDurable:
    """An accepted document is never lost or reverted."""

    def test_leader_killed_right_after_accepting(self, fleet, operator):
        """Guards against acceptance before a quorum has synced.

        The leader replies "accepted" and is lost with its disk; the previous
        document must not come back into force.
        """
        leader = fleet.leader()
        operator.accept(leader, "kept", 0, 1)
        fleet.kill(leader)
        fleet.lose_disk(leader)
        fleet.run_until(fleet.leader)
        token = operator.read(followers(leader)[0])
        reply = operator.wait(token).reply
        assert (reply.code, reply.version) == (Code.CURRENT, 1)

    def test_nothing_is_accepted_before_a_quorum_synced(self, fleet, operator):
        leader = fleet.leader()
        for name in followers(leader):
            fleet.freeze(name)
        token = operator.apply(leader, "alone", 0, 1, wait=2.0)
        done = operator.wait(token)
        assert done.reply.code == Code.APPLY_UNKNOWN
        assert versions(fleet)[leader] == 0

    def test_cut_off_leader_returns_no_read_as_current(self, fleet, operator):
        """Guards against stale reads from a leader that skips the quorum.

        The leader is cut off, the others elect a new one and accept a change,
        and an operator reads from the old leader, possibly an hour later.
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

    def test_frozen_leader_that_resumes_changes_nothing(self, fleet, operator):
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

    def test_not_accepted_without_a_quorum_is_definite(self, fleet, operator):
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
    """Changes of entries that could exceed a connection cap are rejected."""

    def test_names_in_one_lease_exceed_places(self):
        """Guards against an exceeded connection cap after a change of entries.

        An entry instance that is cut off keeps its share under the old
        document, while the new document assigns that share to another entry.
        Searchers would refuse connections.
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
    from greengagemoor.control.client import OperationRequest
    from greengagemoor.control.commands import ApplyDocument
    from greengagemoor.control.messages import OpKind

    token = f"{apply_id}/{operator.fleet.now}"
    command = ApplyDocument(apply_id, replaces, text, 0.0)
    deadline = operator.fleet.now + 50
    operator.fleet.put(
        "c1", OperationRequest(token, OpKind.APPLY, deadline, command)
    )
    return token


class TestSession:
    """Golden files of whole sessions."""

    def test_race_and_leader_loss(self, fleet, operator, file_regression):
        fleet.out.clear()
        operator.apply("c1", "mine", 0, 1)
        operator.apply("c2", "theirs", 0, 2)
        fleet.run(0.3)
        fleet.kill(fleet.leader())
        fleet.run_until(fleet.leader)
        at = next(iter(fleet.nodes))
        operator.wait(operator.apply(at, "mine", 0, 1))
        file_regression.check(format_output(fleet))
