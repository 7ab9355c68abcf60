"""Admission control in the forward decider."""

from __future__ import annotations

from greengagemoor.admission.messages import Rejection
from greengagemoor.forward import messages as m
from greengagemoor.forward.part_messages import AskPart, FromPeer
from tests.test_forward.helpers import Bench, answers, gather, starts


class Refusing:
    """A controller that refuses all and records what it is told."""

    def __init__(self):
        self.offers = []
        self.answers = []
        self.sheds = []
        self.ends = []
        self.refuses = True

    def decide(self, now, offer):
        self.offers.append(offer)
        return Rejection(0.123, "load") if self.refuses else None

    def note_answer(self, now, service, searcher, send_s, load):
        self.answers.append((service, searcher, load))

    def note_shed(self, now, service, searcher, load):
        self.sheds.append((service, searcher, load))

    def note_end(self, now, offer, elapsed_s):
        self.ends.append(offer)


def bench_with(refuses):
    bench = Bench(services=4)
    bench.decider.tables.admission = controller = Refusing()
    controller.refuses = refuses
    return bench, controller


class TestSetting:
    """Admission control is off unless the settings ask for it."""

    def test_off_by_default(self):
        assert Bench().decider.tables.admission is None

    def test_on(self):
        bench = Bench(admission_control=True)
        assert bench.decider.tables.admission is not None
        assert "refused_overload_total" in bench.decider.gauges()


class TestRefusal:
    """A refused request has truly not run: nothing of it was sent."""

    def test_refused_before_any_send(self):
        bench, _ = bench_with(refuses=True)
        out = bench.arrive(gather())
        [answer] = answers(out)
        assert answer.ending is m.Ending.NOT_RUN_OVERLOAD
        assert answer.ending in m.NOT_RUN
        assert answer.retry_after_s == 0.123
        assert starts(bench.outputs) == [] and answer.sends == 0
        bench.pass_time(2.0)
        assert starts(bench.outputs) == []
        assert answers(bench.outputs) == [answer]

    def test_refusal_has_a_step_with_its_reason(self):
        bench, _ = bench_with(refuses=True)
        [answer] = answers(bench.arrive(gather()))
        assert [(s.kind, s.note) for s in answer.steps] == [
            (m.StepKind.REFUSED, "load")
        ]

    def test_parts_for_other_entries_are_never_refused(self):
        # The asking entry has admitted the request; a refused part would
        # only be sent again by that entry.
        bench, controller = bench_with(refuses=True)
        bench.decider.tables.accepts_parts = True
        part = AskPart(1, "r", "all", ("s0", "s1"), 3, 2, 1, 0.2, 0.2, 1.0)
        out = bench.step(FromPeer("other", part))
        assert len(starts(out)) == 2
        assert controller.offers == []


class TestReports:
    """What the controller is told."""

    def test_offer_describes_the_request(self):
        bench, controller = bench_with(refuses=False)
        bench.arrive(gather(least=0.7), remaining_wait_s=0.9)
        bench.arrive(gather(least=0.7), remaining_wait_s=0.6)
        first, second = controller.offers
        assert first.services == ("s0", "s1", "s2", "s3")
        assert first.least_answers == 3
        assert first.waited_s == 0.0
        assert abs(second.waited_s - 0.3) < 1e-9

    def test_answers_sheds_and_ends_are_reported(self):
        bench, controller = bench_with(refuses=False)
        load = m.SearcherLoad(4, 7, 4)
        sent = starts(bench.arrive(gather()))
        shed = m.SearcherAnswer(503, "", (), b"", load=load)
        bench.end(sent[0], m.Outcome.NOT_RUN, answer=shed)
        assert [row[0] for row in controller.sheds] == [sent[0].searcher_id[:2]]
        retry = starts(bench.outputs)[-1]
        for start in (*sent[1:], retry):
            bench.answer(start, load=load)
        assert len(controller.answers) == 4
        assert {row[2].waiting for row in controller.answers} == {7}
        assert len(controller.ends) == 1


class TestGauges:
    """The decider's gauges include those of admission control."""

    def test_share_by_rank_and_refused(self):
        bench = Bench(services=4, admission_control=True)
        bench.arrive(gather(rank=1))
        gauges = bench.decider.gauges()
        assert gauges["refused_overload_total"] == 0
        assert gauges["admitted_share_rank_1"] == 1.0
