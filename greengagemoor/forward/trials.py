"""Trials: find out at the least cost whether a request ends its searchers.

Several searchers have ended while running a suspect request, and none has
answered it. The request may be the cause, or it ran where a rack failed. It is
therefore sent to one searcher, once for all entries: the control group grants
each trial to one claim, and only a few in all, whatever the number of entries,
restarts and network partitions. An answer clears the request, and all copies
that were held are sent. If the searcher ends and nothing else explains that, or
if the searcher of the second trial ends too, the request is quarantined
permanently. An operator may clear it.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.codes import ClaimVerdict
from greengagemoor.feed.suspects import Standing
from greengagemoor.forward import (
    attempt_end,
    completion,
    evidence,
    first_sends,
    sending,
)
from greengagemoor.forward.messages import (
    ClaimTrial,
    Ending,
    Outcome,
    ReleaseTrialClaim,
    Step,
    StepKind,
    TrialVerdict,
)
from greengagemoor.forward.trial_table import (
    Stage,
    Trial,
    get_or_create_trial,
    is_refused,
)

if TYPE_CHECKING:
    from greengagemoor.forward.messages import AttemptEnded
    from greengagemoor.forward.tables import Attempt, Request, Tables

MAX_TRIALS = 2
"""Most trials of a request over all entries. The second one is for the case
that the entry of the first ended, or its searcher together with others."""
TRIAL_VALID_S = 2.0
"""Seconds within which a granted trial must begin, and after which a running
one counts as ended. Other entries wait this long for one that was killed."""
CLAIM_RETRY_S = 0.1
"""Seconds until the next claim while another entry's trial is running or the
control group is unavailable."""
SPENT_PAUSE_S = 60.0
"""Seconds without further claims once all trials of a request are spent."""
_NEVER_RAN = (Outcome.NOT_RUN, Outcome.NOT_SENT, Outcome.WRONG_SEARCHER)


def hold(tables: Tables, request: Request) -> None:
    """Holds a suspect request until it is sent as a trial or is cleared."""
    trial = get_or_create_trial(tables, request.fingerprint)
    request.is_held = True
    after = tables.now - request.arrived_at
    request.steps.append(Step(StepKind.HELD, after, ""))
    trial.held.append(request)
    reject = partial(_reject, tables, request, Ending.NOT_RUN_SUSPECT)
    tables.set_timer(request.soft_deadline, reject)
    _advance(tables, trial)


def _advance(tables: Tables, trial: Trial) -> None:
    """Takes the next step of a trial while any request waits for it."""
    trial.held = [r for r in trial.held if r.is_held and not r.done]
    if not trial.held or tables.trials.get(trial.fingerprint) is not trial:
        if trial.stage is Stage.GRANTED:
            _release_grant(tables, trial)
        return
    if trial.stage is Stage.SPENT and tables.now >= trial.until:
        trial.number, trial.stage = 1, Stage.IDLE
        trial.claim = next(tables.ids)
    if trial.stage is Stage.IDLE:
        _send_claim(tables, trial)
    elif trial.stage is Stage.GRANTED:
        _start_trial(tables, trial)


def _send_claim(tables: Tables, trial: Trial) -> None:
    trial.stage = Stage.ASKED
    trial.until = tables.now + TRIAL_VALID_S
    trial.last_claim = ClaimTrial(
        trial.fingerprint, trial.epoch, trial.number, trial.claim, TRIAL_VALID_S
    )
    tables.out.append(trial.last_claim)


def apply_verdict(tables: Tables, msg: TrialVerdict) -> None:
    """Applies the control group's verdict on a claim."""
    wanted = msg.wanted
    trial = tables.trials.get(wanted.fingerprint)
    if trial is None or trial.last_claim != wanted:
        if msg.verdict is ClaimVerdict.GRANTED:
            tables.out.append(ReleaseTrialClaim(wanted))
        return
    if msg.verdict is ClaimVerdict.GRANTED:
        trial.stage = Stage.GRANTED
        _advance(tables, trial)
    elif msg.verdict in (ClaimVerdict.DONE, ClaimVerdict.UNKNOWN):
        _next_trial(tables, trial)
    else:
        # Another entry's trial is running, or the control group is unavailable.
        trial.stage = Stage.IDLE
        retry = partial(_advance, tables, trial)
        tables.set_timer(tables.now + CLAIM_RETRY_S, retry)


def _next_trial(tables: Tables, trial: Trial) -> None:
    trial.number += 1
    trial.stage = Stage.IDLE
    if trial.number > MAX_TRIALS:
        trial.stage = Stage.SPENT
        trial.until = tables.now + SPENT_PAUSE_S
        _reject_held(tables, trial)
    else:
        _advance(tables, trial)


def _start_trial(tables: Tables, trial: Trial) -> None:
    """Sends one leg of the first held request with an available searcher."""
    if tables.now >= trial.until:
        _release_grant(tables, trial)
        _advance(tables, trial)
        return
    for request in trial.held:
        for leg in request.legs:
            if sending.send(tables, leg):
                tables.budget_of(leg.service).note_request(tables.now)
                _mark_running(tables, trial, request, leg.service)
                return
    retry = partial(_advance, tables, trial)
    tables.set_timer(tables.now + sending.RECHECK_INTERVAL_S, retry)


def _release_grant(tables: Tables, trial: Trial) -> None:
    """Releases a grant that was not used.

    Its callers have left, or no searcher had a free connection. If such grants
    were kept, a few of them would spend all trials of a harmless request.
    """
    trial.stage = Stage.IDLE
    trial.claim = next(tables.ids)
    tables.out.append(ReleaseTrialClaim(trial.last_claim))


def _mark_running(
    tables: Tables, trial: Trial, request: Request, service: str
) -> None:
    trial.stage = Stage.RUNNING
    trial.held.remove(request)
    request.is_held = False
    request.is_trial = True
    after = tables.now - request.arrived_at
    request.steps.append(Step(StepKind.TRIAL, after, service))
    expire = partial(_expire_trial, tables, trial, trial.number)
    tables.set_timer(tables.now + TRIAL_VALID_S, expire)


def _expire_trial(tables: Tables, trial: Trial, number: int) -> None:
    """Moves on to the next trial if this one was not answered in time."""
    if trial.stage is Stage.RUNNING and trial.number == number:
        _next_trial(tables, trial)


def take_end(tables: Tables, attempt: Attempt, msg: AttemptEnded) -> None:
    """Handles the end of a trial's send."""
    request, leg = attempt.leg.request, attempt.leg
    trial = tables.trials.get(request.fingerprint)
    if msg.outcome in _NEVER_RAN:
        if request.done or not sending.send(tables, leg):
            _reuse_grant(tables, trial, request)
        return
    request.is_trial = False
    if msg.outcome is Outcome.ANSWERED and attempt_end.is_good(msg.answer):
        if not request.done:
            first_sends.start(tables, request)
        return
    _give_up_request(tables, request)
    if trial is None or trial.stage is not Stage.RUNNING:
        return
    if msg.outcome is Outcome.BROKEN:
        trial.stage = Stage.JUDGED
        _schedule_judgement(tables, trial, attempt)
    else:
        _next_trial(tables, trial)


def _reuse_grant(tables: Tables, trial: Trial | None, request: Request) -> None:
    """Handles a trial that no searcher ran; its grant stays valid."""
    request.is_trial = False
    _give_up_request(tables, request)
    if trial is not None and trial.stage is Stage.RUNNING:
        trial.stage = Stage.GRANTED
        _advance(tables, trial)


def _give_up_request(tables: Tables, request: Request) -> None:
    if request.done:
        return
    for leg in request.legs:
        if leg.is_open:
            leg.give_up()
    completion.check(tables, request)


def _schedule_judgement(tables: Tables, trial: Trial, attempt: Attempt) -> None:
    judge = partial(_judge, tables, trial, attempt)
    tables.set_timer(tables.now + evidence.COMMON_CAUSE_S, judge)


def _judge(tables: Tables, trial: Trial, attempt: Attempt) -> None:
    """Judges a trial whose connection broke; another one may follow."""
    if trial.stage is not Stage.JUDGED:
        return
    key = attempt.searcher.key
    end = tables.possible_crashes.get(key)
    if end is not None and not end.ended:
        _schedule_judgement(tables, trial, attempt)
        return
    if end is not None:
        evidence.note_failed_trial(tables, trial.fingerprint, end)
    if not is_refused(tables, trial.fingerprint):
        _next_trial(tables, trial)


def review(tables: Tables, fingerprint: bytes) -> None:
    """Rejects or sends held requests after a change of their standing."""
    trial = tables.trials.get(fingerprint)
    if trial is None:
        return
    standing = tables.suspects.standing(fingerprint)
    if standing is Standing.QUARANTINED:
        _reject_held(tables, trial)
    elif standing is Standing.WATCHED:
        tables.trials.pop(fingerprint)
        for request in trial.held:
            if request.is_held and not request.done:
                request.is_held = False
                first_sends.start(tables, request)


def _reject_held(tables: Tables, trial: Trial) -> None:
    held, trial.held = trial.held, []
    for request in held:
        _reject(tables, request, Ending.NOT_RUN_QUARANTINED)


def _reject(tables: Tables, request: Request, ending: Ending) -> None:
    if request.is_held and not request.done:
        completion.finish(tables, request, ending)
