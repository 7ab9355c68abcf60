"""When a broken send is taken as evidence that its searcher has crashed."""

from __future__ import annotations

from greengagemoor.feed.messages import (
    SearcherKey,
    SearcherRow,
    SearcherState,
    SearcherUpdated,
    Suspect,
    SuspectsObserved,
    SuspectsReceived,
)
from greengagemoor.forward.evidence import REPORT_S
from greengagemoor.forward.messages import Outcome, ProbeEnded, ProbeSearcher
from tests.test_forward.helpers import Bench, gather, single, starts


def break_send(bench, route=None, **more):
    """Ends a send with a broken connection; returns the send."""
    (sent, *_) = starts(bench.arrive(route or single(), fingerprint=b"f"))
    bench.end(sent, Outcome.BROKEN, **more)
    return sent


def probe_result(sent, refused=True):
    return ProbeEnded(SearcherKey(sent.searcher_id), refused)


def counted_searchers(bench):
    row = bench.decider.tables.suspects.get(b"f")
    return [key.searcher_id for key in row.ended] if row else []


class TestUnconfirmed:
    """A broken send alone doesn't count as a crash of its searcher."""

    def test_connections_closed_by_running_searchers(self):
        bench = Bench()
        for i in range(6):
            (sent,) = starts(bench.arrive(single(), fingerprint=b"f"))
            searcher = SearcherKey(sent.searcher_id)
            bench.end(sent, Outcome.BROKEN, stale=i % 2 == 0)
            bench.step(ProbeEnded(searcher, refused=False))
            bench.pass_time(1.5)
        assert bench.decider.tables.suspects.get(b"f") is None

    def test_connection_broken_within_an_answer(self):
        bench = Bench()
        (sent,) = starts(bench.arrive(single(), fingerprint=b"f"))
        out = bench.end(sent, Outcome.BROKEN, response_began=True)
        assert not any(isinstance(msg, ProbeSearcher) for msg in out)

    def test_request_without_a_fingerprint(self):
        """Requests of an embedder without fingerprints aren't one request."""
        bench = Bench()
        (sent,) = starts(bench.arrive(single()))
        out = bench.end(sent, Outcome.BROKEN)
        assert not any(isinstance(msg, ProbeSearcher) for msg in out)

    def test_searcher_that_answers_later(self):
        bench = Bench(searchers=1)
        sent = break_send(bench)
        bench.pass_time(1.0)
        (again,) = starts(bench.arrive(single(), fingerprint=b"g"))
        bench.answer(again)
        bench.step(probe_result(sent))
        assert counted_searchers(bench) == []


class TestConfirmed:
    """Observations that confirm the crash of a searcher."""

    def test_nothing_listens_there(self):
        bench = Bench()
        sent = break_send(bench)
        bench.step(probe_result(sent))
        assert counted_searchers(bench) == [sent.searcher_id]

    def test_control_reports_it_as_lost(self):
        """Its machine doesn't answer at all, so the probe isn't refused."""
        bench = Bench()
        sent = break_send(bench)
        bench.step(probe_result(sent, refused=False))
        bench.pass_time(3.0)
        bench.learn(sent.searcher_id, "s0", SearcherState.LOST, seq=1)
        assert counted_searchers(bench) == [sent.searcher_id]

    def test_it_restarted_under_its_id(self):
        """The probe was accepted by the new process."""
        bench = Bench()
        sent = break_send(bench)
        bench.step(probe_result(sent, refused=False))
        row = SearcherRow(
            sent.searcher_id,
            "s0",
            sent.address,
            "dc1",
            SearcherState.READY,
            1,
            5,
            0.0,
            start=7,
        )
        bench.step(SearcherUpdated(row))
        assert counted_searchers(bench) == [sent.searcher_id]

    def test_all_requests_that_ran_there_count(self):
        bench = Bench(searchers=1)
        first, second = (
            starts(bench.arrive(single(attempts=1), fingerprint=name))[0]
            for name in (b"f", b"g")
        )
        bench.end(first, Outcome.BROKEN)
        bench.step(probe_result(first))
        bench.end(second, Outcome.BROKEN)
        for name in (b"f", b"g"):
            assert bench.decider.tables.suspects.get(name).ended

    def test_it_is_reported_to_control_after_a_delay(self):
        bench = Bench()
        sent = break_send(bench)
        bench.step(probe_result(sent))
        out = bench.pass_time(2 * REPORT_S)
        (seen,) = [msg for msg in out if isinstance(msg, SuspectsObserved)]
        assert seen.rows[0].ended == (SearcherKey(sent.searcher_id),)

    def test_query_answered_meanwhile_is_not_reported(self):
        bench = Bench(services=4)
        sent = starts(bench.arrive(gather(), fingerprint=b"f"))
        bench.end(sent[0], Outcome.BROKEN)
        bench.step(probe_result(sent[0]))
        for one in sent[1:]:
            bench.answer(one)
        out = bench.pass_time(2 * REPORT_S)
        assert not any(isinstance(msg, SuspectsObserved) for msg in out)
        assert counted_searchers(bench) == []

    def test_answer_is_reported_if_others_reported_an_end(self):
        """Another entry reported a crash before this one reported its own."""
        bench = Bench(services=4)
        sent = starts(bench.arrive(gather(), fingerprint=b"f"))
        bench.end(sent[0], Outcome.BROKEN)
        bench.step(probe_result(sent[0]))
        other = Suspect(b"f", ended=(SearcherKey("elsewhere"),))
        bench.step(SuspectsReceived((other,)))
        bench.answer(sent[1])
        bench.pass_time(2 * REPORT_S)
        (seen,) = [x for x in bench.outputs if isinstance(x, SuspectsObserved)]
        assert seen.rows[0].epoch == 1

    def test_each_searcher_is_probed_once(self):
        bench = Bench(searchers=1)
        sends = [
            starts(bench.arrive(single(), fingerprint=b"f"))[0]
            for _ in range(3)
        ]
        for one in sends:
            bench.end(one, Outcome.BROKEN)
        probes = [m for m in bench.outputs if isinstance(m, ProbeSearcher)]
        assert len(probes) == 1
