"""Claims trials of suspect requests on the control group's ledger."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.codes import ClaimVerdict, Code
from greengagemoor.control.client import ControlClient, Done, OperationRequest
from greengagemoor.control.commands import Claim, RecordOutcome
from greengagemoor.control.messages import OpKind
from greengagemoor.forward.messages import (
    ClaimTrial,
    ReleaseTrialClaim,
    TrialVerdict,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

TRIALS_CALLER = "trials of suspect requests"
"""Caller name of these claims in the ledger. Its blanks keep it distinct from
all client accounts."""
CLAIM_TIMEOUT_S = 0.9
"""Seconds until a claim fails: enough for two attempts to reach a leader, and
about as long as callers wait."""
RELEASE_TIMEOUT_S = 5.0
"""Seconds until a release fails. No request waits for it, and by then a new
leader has been elected."""
FIRST_OPERATION_ID = 1 << 32
"""First operation id of claims and releases; keeps their ids distinct from
those of this entry's reads of the document."""


class TrialClaims:
    """Claims of this process that are in progress."""

    def __init__(self, name: str, rng: random.Random):
        """Starts without claims.

        Args:
            name: name of this entry.
            rng: seeded source.
        """
        # Unique for each process: a restarted one must not reuse old claims.
        self._owner = f"{name}/{rng.getrandbits(64):x}"
        self._client = ControlClient((), rng, FIRST_OPERATION_ID)

    def step(
        self, now: float, controls: Iterable[str], msgs: Iterable[object]
    ) -> list:
        """Runs one tick.

        Args:
            now: seconds.
            controls: control instances with a working link.
            msgs: ``ClaimTrial``, ``ReleaseTrialClaim``, and ``Received``
                answers to operations.

        Returns:
            ``Send`` and ``TrialVerdict``.
        """
        self._client.targets = list(controls)
        operations = [self._operation(now, msg) for msg in msgs]
        results = self._client.step(now, operations)
        out = [msg for msg in results if not isinstance(msg, Done)]
        done = [msg for msg in results if isinstance(msg, Done)]
        return [*out, *map(_decided, filter(_is_claim, done))]

    def next_wake(self) -> float | None:
        """Returns when a tick is due even without messages."""
        return self._client.next_wake()

    @property
    def is_idle(self) -> bool:
        """Whether no claim is in progress."""
        return self._client.is_idle

    def _operation(self, now: float, msg: object) -> object:
        if isinstance(msg, ClaimTrial):
            return self._claim(now, msg)
        if isinstance(msg, ReleaseTrialClaim):
            return self._release(now, msg.wanted)
        return msg

    def _claim(self, now: float, msg: ClaimTrial) -> OperationRequest:
        command = Claim(
            caller=TRIALS_CALLER,
            request_id=_trial_id(msg),
            claim_id=f"{self._owner}/{msg.claim}",
            issued_at=now,
            valid_for_s=msg.valid_for_s,
            time=now,
        )
        return OperationRequest(
            msg, OpKind.CLAIM, now + CLAIM_TIMEOUT_S, command
        )

    def _release(self, now: float, msg: ClaimTrial) -> OperationRequest:
        command = RecordOutcome(
            caller=TRIALS_CALLER,
            request_id=_trial_id(msg),
            claim_id=f"{self._owner}/{msg.claim}",
            code=int(Code.NOT_RUN_LEAVING),
            outcome="",
            time=now,
        )
        return OperationRequest(
            None, OpKind.OUTCOME, now + RELEASE_TIMEOUT_S, command
        )


def _trial_id(msg: ClaimTrial) -> str:
    return f"{msg.fingerprint.hex()}/{msg.epoch}/{msg.number}"


def _is_claim(done: Done) -> bool:
    return done.kind is OpKind.CLAIM


def _decided(done: Done) -> TrialVerdict:
    verdict = ClaimVerdict.UNAVAILABLE
    if done.reply.code == Code.ACCEPTED:
        verdict = ClaimVerdict(done.reply.verdict)
    return TrialVerdict(done.token, verdict)
