"""Announcements: order, silence, conflicts, and drains."""

from __future__ import annotations

import pytest

from greengagemoor.backends import HeldVersion, ServerState
from greengagemoor.codes import Code
from greengagemoor.membership.messages import Announce
from greengagemoor.query.messages import Request, StartAttempt
from tests.fakes import answer_to, server
from tests.test_membership.helpers import (
    ENTRIES,
    reply_to,
    run_with_renewals,
    shown,
    start_entries,
    start_searchers,
)


@pytest.fixture
def fleet():
    return start_entries()


class TestOrder:
    """Incarnation and sequence order the announcements of a searcher."""

    def test_late_older_announcement_is_rejected(self, fleet):
        """Guards against attempts to a searcher that left.

        It announces that it is gone, and an earlier announcement reaches
        another entry afterwards. The last one received is not the newest.
        """
        searchers = start_searchers(fleet)
        a = searchers["a"]
        old = server("a", announced_to=a.guardians)
        a.say(ServerState.GONE)
        fleet.run(3.0)
        fleet.put("e3", Announce(1, old, 99))
        fleet.run(3.0)
        assert reply_to(fleet, 1).code == Code.ANNOUNCEMENT_STALE
        assert all("a" not in shown(fleet, e) for e in ENTRIES)

    def test_restart_under_the_same_address_is_a_new_incarnation(self, fleet):
        searchers = start_searchers(fleet)
        a = searchers["a"]
        a.say(ServerState.GONE)
        fleet.run(3.0)
        a.incarnation, a.sequence = 2, 0
        a.say(ServerState.READY)
        fleet.run(3.0)
        assert all(shown(fleet, e)["a"] is ServerState.READY for e in ENTRIES)

    def test_forged_announcement_at_the_same_order_is_rejected(self, fleet):
        start_searchers(fleet)
        forged = server("a", announced_to=("e1", "e2"), address="127.0.0.1:666")
        fleet.put("e1", Announce(1, forged, 50))
        fleet.run(2.0)
        assert reply_to(fleet, 1).code == Code.ANNOUNCEMENT_STALE
        row = fleet.nodes["e1"].membership.state.table.rows["b:s/a"]
        assert row.server.address == "127.0.0.1:1"


class TestRejections:
    """Invalid announcements are rejected and change no other row."""

    def test_searcher_outside_the_document(self, fleet):
        stranger = server("stranger", announced_to=("e1",))
        fleet.put("e1", Announce(1, stranger, 1))
        fleet.run(0.1)
        assert reply_to(fleet, 1).code == Code.ANNOUNCEMENT_NOT_ALLOWED

    def test_conflicting_shard_count(self, fleet):
        start_searchers(fleet)
        other = server("b", (0, 1, 2), shard_count=3, sequence=2)
        fleet.put("e1", Announce(1, other, 9))
        fleet.run(1.0)
        reply = reply_to(fleet, 1)
        assert reply.code == Code.ANNOUNCEMENT_CONFLICT
        assert "version 1 has 2 shards" in reply.detail
        assert shown(fleet, "e1").keys() == {"a", "b", "c"}

    def test_shards_outside_the_count(self):
        with pytest.raises(ValueError, match="outside"):
            HeldVersion(1, 2, (0, 2))


class TestSilence:
    """A silent searcher is dropped by all entries in time."""

    def test_silent_searcher_is_dropped_everywhere(self, fleet):
        """Guards against attempts to a searcher that failed silently.

        If only its own announcements changed its row, it would stay listed.
        """
        searchers = start_searchers(fleet)
        alive = [searchers["b"], searchers["c"]]
        run_with_renewals(fleet, alive, 7.0)
        for entry in ENTRIES:
            assert shown(fleet, entry).keys() == {"b", "c"}

    def test_copies_of_an_old_renewal_do_not_count(self, fleet):
        searchers = start_searchers(fleet)
        a = searchers["a"]
        row = server("a", announced_to=a.guardians)
        for _ in range(7):
            for watcher in a.guardians:
                fleet.put(watcher, Announce(5, row, 1))
            run_with_renewals(fleet, [searchers["b"], searchers["c"]], 1.0)
        assert "a" not in shown(fleet, "e3")

    def test_renewals_at_one_watcher_are_enough(self, fleet):
        searchers = start_searchers(fleet)
        for searcher in searchers.values():
            searcher.guardians = ("e1", "e2")
        fleet.put("e1", Announce(7, server("a", announced_to=("e1", "e2")), 2))
        for renewal in range(3, 12):
            row = server("a", announced_to=("e1", "e2"))
            fleet.put("e2", Announce(7, row, renewal))
            run_with_renewals(fleet, [searchers["b"], searchers["c"]], 1.0)
        assert "a" in shown(fleet, "e3")

    def test_watchers_and_searcher_fail_together(self, fleet):
        """Guards against attempts to a rack that failed as a whole.

        The searcher and both its watchers fail at once, so that no watcher is
        left to detect the silence.
        """
        start_searchers(fleet)
        fleet.kill("e1")
        fleet.kill("e2")
        fleet.run(30.0)
        assert shown(fleet, "e3") == {}

    def test_searcher_moves_to_other_entries(self, fleet):
        searchers = start_searchers(fleet)
        a = searchers["a"]
        fleet.kill("e1")
        a.guardians = ("e2", "e3")
        a.sequence += 1
        run_with_renewals(fleet, searchers.values(), 10.0)
        assert "a" in shown(fleet, "e3")

    def test_wrongly_dropped_searcher_comes_back(self, fleet):
        searchers = start_searchers(fleet)
        a = searchers["a"]
        run_with_renewals(fleet, [searchers["b"], searchers["c"]], 8.0)
        token = a.announce()
        fleet.run(0.5)
        assert reply_to(fleet, token).code == Code.ANNOUNCED
        run_with_renewals(fleet, searchers.values(), 3.0)
        assert shown(fleet, "e3")["a"] is ServerState.READY


class TestDrain:
    """A searcher that announced draining gets no new work."""

    def test_no_new_work_anywhere_after_a_few_seconds(self, fleet):
        """Guards against new work that keeps a draining searcher busy.

        It announces draining to its two watchers only; the other entries must
        receive it, too.
        """
        searchers = start_searchers(fleet)
        searchers["a"].say(ServerState.DRAINING)
        run_with_renewals(fleet, searchers.values(), 3.0)
        before = len(fleet.attempts)
        for token, entry in enumerate(ENTRIES * 5, 1):
            request = Request(token, "atlas", "read", f"r{token}", "s")
            fleet.put(entry, request)
            fleet.run(0.05)
        later = fleet.attempts[before:]
        assert later
        assert all(msg.server != "a" for _, msg in later)

    def test_partitioned_entry_learns_of_the_drain_from_answers(self, fleet):
        searchers = start_searchers(fleet)
        fleet.cut_off("e3")
        searchers["a"].say(ServerState.DRAINING)

        def drained(msg: StartAttempt):
            return 0.01, answer_to(msg, server_state=ServerState.DRAINING)

        fleet.searchers["a"] = drained
        before = len(fleet.attempts)
        for token in range(1, 30):
            request = Request(token, "atlas", "read", f"r{token}", "s")
            fleet.put("e3", request)
            fleet.run(0.1)
        to_a = [m for _, m in fleet.attempts[before:] if m.server == "a"]
        assert len(to_a) <= 2

    def test_renewals_that_still_say_ready_keep_the_searcher(self, fleet):
        """Guards against dropping a draining searcher that still renews.

        It announces draining, then "ready" again and again under one sequence,
        while its row stays draining. If these renewals were rejected because
        they differ from the row at the same order, the searcher would be
        dropped as silent, and rejected from then on.
        """
        searchers = start_searchers(fleet)
        a = searchers["a"]
        a.say(ServerState.DRAINING)
        fleet.run(1.0)
        a.say(ServerState.READY)
        run_with_renewals(fleet, searchers.values(), 8.0)
        for entry in ENTRIES:
            assert shown(fleet, entry)["a"] is ServerState.DRAINING

    def test_ready_after_draining_is_ignored_in_one_incarnation(self, fleet):
        searchers = start_searchers(fleet)
        a = searchers["a"]
        a.say(ServerState.DRAINING)
        fleet.run(1.0)
        a.say(ServerState.READY)
        fleet.run(3.0)
        assert shown(fleet, "e3")["a"] is ServerState.DRAINING
