"""Trials of suspect requests, at one entry."""

from __future__ import annotations

import pytest

from greengagemoor.codes import ClaimVerdict
from greengagemoor.feed.messages import (
    SearcherKey,
    Suspect,
    SuspectsObserved,
    SuspectsReceived,
)
from greengagemoor.feed.suspects import Standing
from greengagemoor.forward import messages as m
from greengagemoor.forward.messages import Ending, Outcome
from greengagemoor.forward.trials import MAX_TRIALS, TRIAL_VALID_S
from tests.test_forward.helpers import Bench, answers, gather, single, starts

SUSPECT = Suspect(b"f", ended=tuple(SearcherKey(name) for name in "abc"))
ROUTE = gather(objective_s=1.0, time_limit_s=3.0)


class TrialBench(Bench):
    """An entry that has received the row of a suspect request."""

    def __init__(self, **more):
        super().__init__(services=4, **more)
        self.step(SuspectsReceived((SUSPECT,)))

    def ask(self, route=ROUTE):
        return self.arrive(route, fingerprint=b"f")

    def decide(self, verdict=ClaimVerdict.GRANTED):
        wanted = [msg for msg in self.outputs if isinstance(msg, m.ClaimTrial)]
        return self.step(m.TrialVerdict(wanted[-1], verdict))

    def output(self, kind):
        return [msg for msg in self.outputs if isinstance(msg, kind)]

    @property
    def standing(self):
        return self.decider.tables.suspects.standing(b"f")


class TestOneTrial:
    """The sends of a granted trial, and the effect of its end."""

    def test_nothing_is_sent_before_the_grant(self):
        bench = TrialBench()
        assert not starts(bench.ask())
        assert len(bench.output(m.ClaimTrial)) == 1

    def test_one_searcher_gets_the_trial(self):
        bench = TrialBench()
        bench.ask()
        bench.ask()
        assert len(starts(bench.decide())) == 1
        assert not starts(bench.pass_time(0.5))

    def test_answer_clears_and_releases_held_requests(self):
        bench = TrialBench()
        bench.ask()
        bench.ask()
        (trial,) = starts(bench.decide())
        sent = starts(bench.answer(trial))
        assert len(sent) == 3 + 4
        assert bench.standing is Standing.WATCHED
        bench.pass_time(0.01)
        (seen,) = bench.output(SuspectsObserved)
        assert seen.rows[0].epoch == 1

    def test_end_of_the_searcher_quarantines(self):
        bench = TrialBench()
        bench.ask()
        bench.ask()
        (trial,) = starts(bench.decide())
        out = bench.end(trial, Outcome.BROKEN)
        (end,) = answers(out)
        assert end.ending is Ending.BELOW_COVERAGE
        bench.step(m.ProbeEnded(SearcherKey(trial.searcher_id), True))
        (held,) = answers(bench.pass_time(0.4))
        assert held.ending is Ending.NOT_RUN_QUARANTINED
        assert not held.sends
        (again,) = answers(bench.ask())
        assert again.ending is Ending.NOT_RUN_QUARANTINED
        assert again.retry_after_s >= 60.0

    def test_second_end_quarantines_in_any_case(self):
        """In both trials a searcher with another request crashes as well."""
        bench = TrialBench()
        for number in range(2):
            assert bench.standing is Standing.SUSPECT
            (other,) = starts(
                bench.arrive(single(attempts=1), fingerprint=b"g%d" % number)
            )
            bench.ask()
            (trial,) = starts(bench.decide())
            for one in (other, trial):
                bench.end(one, Outcome.BROKEN)
                key = SearcherKey(one.searcher_id)
                bench.step(m.ProbeEnded(key, refused=True))
            bench.pass_time(3.0, tick=0.05)
        assert bench.standing is Standing.QUARANTINED

    def test_searcher_that_did_not_end_proves_nothing(self):
        """The connection broke, but the searcher still accepts connections."""
        bench = TrialBench()
        bench.ask()
        (trial,) = starts(bench.decide())
        bench.end(trial, Outcome.BROKEN)
        bench.step(m.ProbeEnded(SearcherKey(trial.searcher_id), False))
        bench.pass_time(6.0, tick=0.05)
        assert bench.standing is Standing.SUSPECT

    @pytest.mark.parametrize(
        "outcome", [Outcome.NOT_RUN, Outcome.NOT_SENT, Outcome.WRONG_SEARCHER]
    )
    def test_searcher_that_did_not_run_the_trial(self, outcome):
        """Another searcher gets the request under the same grant."""
        bench = TrialBench()
        bench.ask()
        (trial,) = starts(bench.decide())
        (again,) = starts(bench.end(trial, outcome))
        assert again.searcher_id != trial.searcher_id
        assert len(bench.output(m.ClaimTrial)) == 1

    def test_caller_that_leaves_does_not_end_the_trial(self):
        bench = TrialBench()
        bench.ask()
        (trial,) = starts(bench.decide())
        out = bench.step(m.CallerGone(bench.tokens))
        assert not [x for x in out if isinstance(x, m.CancelAttempt)]
        bench.answer(trial)
        assert bench.standing is Standing.WATCHED


class TestGrants:
    """The number of grants is limited, and unused ones are released."""

    def test_grant_without_callers_is_released(self):
        """Guards against harmless requests that are rejected for an hour.

        After a crash of most searchers many requests were suspect. Their
        callers left, or no searcher had a place, before the granted trial
        began; two such grants spent all trials of a request.
        """
        bench = TrialBench()
        bench.ask()
        bench.step(m.CallerGone(bench.tokens))
        assert not starts(bench.decide())
        assert len(bench.output(m.ReleaseTrialClaim)) == 1

    def test_grant_is_released_if_caller_left_before_the_run(self):
        bench = TrialBench()
        bench.ask()
        (trial,) = starts(bench.decide())
        bench.step(m.CallerGone(bench.tokens))
        bench.end(trial, Outcome.NOT_SENT)
        assert len(bench.output(m.ReleaseTrialClaim)) == 1

    def test_late_grant_is_released(self):
        bench = TrialBench()
        bench.ask()
        bench.step(SuspectsReceived((Suspect(b"f", epoch=1),)))
        bench.decide()
        assert len(bench.output(m.ReleaseTrialClaim)) == 1

    def test_grant_without_a_free_place_is_released(self):
        bench = TrialBench(cap=10)
        for _ in range(3):
            bench.arrive(gather(time_limit_s=9.0))
        bench.ask()
        assert not starts(bench.decide())
        bench.pass_time(TRIAL_VALID_S + 0.1, tick=0.05)
        assert bench.output(m.ReleaseTrialClaim)

    def test_trial_of_another_entry_is_waited_for(self):
        bench = TrialBench()
        bench.ask()
        bench.decide(ClaimVerdict.IN_PROGRESS)
        bench.pass_time(0.2)
        assert len(bench.output(m.ClaimTrial)) == 2
        assert {msg.number for msg in bench.output(m.ClaimTrial)} == {1}

    def test_held_request_ends_when_its_answer_is_due(self):
        bench = TrialBench()
        bench.ask()
        (end,) = answers(bench.pass_time(1.1))
        assert end.ending is Ending.NOT_RUN_SUSPECT
        assert end.retry_after_s

    def test_all_trials_spent(self):
        """Other entries had all trials, and ended before any was answered."""
        bench = TrialBench()
        bench.ask()
        for _ in range(MAX_TRIALS):
            out = bench.decide(ClaimVerdict.UNKNOWN)
        (end,) = answers(out)
        assert end.ending is Ending.NOT_RUN_QUARANTINED
        assert not starts(bench.ask())

    def test_cleared_elsewhere(self):
        bench = TrialBench()
        bench.ask()
        out = bench.step(SuspectsReceived((Suspect(b"f", epoch=1),)))
        assert len(starts(out)) == 4

    def test_quarantined_elsewhere(self):
        bench = TrialBench()
        bench.ask()
        row = Suspect(
            b"f", ended=SUSPECT.ended, failed=(SearcherKey("a"),), sure=True
        )
        (end,) = answers(bench.step(SuspectsReceived((row,))))
        assert end.ending is Ending.NOT_RUN_QUARANTINED

    def test_single_request(self):
        bench = TrialBench()
        bench.ask(single(objective_s=1.0))
        (trial,) = starts(bench.decide())
        (end,) = answers(bench.answer(trial))
        assert end.ending is Ending.ANSWERED
