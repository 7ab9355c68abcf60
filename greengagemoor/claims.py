"""Converts claims and outcomes of the query decider to ledger operations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.codes import Code
from greengagemoor.control.client import OperationRequest
from greengagemoor.control.commands import Claim, RecordOutcome
from greengagemoor.control.messages import OpKind
from greengagemoor.query.messages import (
    ClaimDecided,
    ClaimVerdict,
    RecordOutcomeWanted,
)
from greengagemoor.util import values
from greengagemoor.util.request_ids import issue_time

if TYPE_CHECKING:
    from greengagemoor.control.client import Done
    from greengagemoor.membership.rows import InstanceRow
    from greengagemoor.query.messages import ClaimWanted

CLAIM_WAIT_S = 1.5
"""Seconds for which an entry waits for the ledger's answer to a claim."""
CLAIM_VALID_S = 10.0
"""Seconds for which a granted claim allows sending."""
OUTCOME_WAIT_S = 60.0
"""Seconds for which an entry tries to record an outcome."""


@values.frozen
class ClaimToken:
    """Identifies the claim that a reply of the ledger belongs to.

    Attributes:
        send_before: time after which nothing may be sent under the claim.
    """

    token: int
    caller: str
    request_id: str
    send_before: float


@values.frozen
class OutcomeToken:
    """Marks replies to recorded outcomes, which are not waited for."""


class ClaimTracker:
    """Claims in progress in this process, by the token of their request."""

    def __init__(self):
        self._claim_ids: dict[int, str] = {}

    def claim_operation(
        self, me: InstanceRow, now: float, msg: ClaimWanted
    ) -> OperationRequest:
        """Returns the operation that claims a request.

        The claim id identifies this claim of this process: only its holder
        may send the request, and only its holder's outcome is recorded.
        """
        claim_id = f"{me.name}/{me.incarnation}/{msg.token}"
        self._claim_ids[msg.token] = claim_id
        command = Claim(
            caller=msg.caller,
            request_id=msg.request_id,
            claim_id=claim_id,
            issued_at=issue_time(msg.request_id) or 0.0,
            valid_for_s=CLAIM_VALID_S,
            time=now,
        )
        token = ClaimToken(
            token=msg.token,
            caller=msg.caller,
            request_id=msg.request_id,
            send_before=now + CLAIM_VALID_S,
        )
        return OperationRequest(
            token, OpKind.CLAIM, now + CLAIM_WAIT_S, command
        )

    def outcome_operation(
        self, now: float, msg: RecordOutcomeWanted
    ) -> OperationRequest | None:
        """Returns the operation that records an outcome.

        None if this process has no claim for the request.
        """
        claim_id = self._claim_ids.pop(msg.token, None)
        if claim_id is None:
            return None
        command = RecordOutcome(
            caller=msg.caller,
            request_id=msg.request_id,
            claim_id=claim_id,
            code=int(msg.code),
            outcome=msg.outcome,
            time=now,
        )
        deadline = now + OUTCOME_WAIT_S
        return OperationRequest(
            OutcomeToken(), OpKind.OUTCOME, deadline, command
        )

    def to_claim_decided(self, done: Done) -> ClaimDecided:
        """Returns the result of a claim for the query decider."""
        token: ClaimToken = done.token
        return ClaimDecided(
            token=token.token,
            caller=token.caller,
            request_id=token.request_id,
            verdict=_verdict(done),
            send_before=token.send_before,
            outcome=done.reply.text,
        )

    def release_operation(
        self, now: float, done: Done
    ) -> OperationRequest | None:
        """Returns the operation that releases a claim that was not granted.

        A claim that was not answered in time may still be granted later;
        recording "not run" lets the caller retry with the same id. None if
        there is nothing to release.
        """
        token: ClaimToken = done.token
        if _verdict(done) is ClaimVerdict.GRANTED:
            return None
        if not done.possibly_accepted:
            self._claim_ids.pop(token.token, None)
            return None
        released = RecordOutcomeWanted(
            token=token.token,
            caller=token.caller,
            request_id=token.request_id,
            code=Code.NOT_RUN_NO_CONTROL,
            outcome="",
        )
        return self.outcome_operation(now, released)


def _verdict(done: Done) -> ClaimVerdict:
    if done.reply.code != Code.ACCEPTED:
        return ClaimVerdict.UNAVAILABLE
    return ClaimVerdict(done.reply.verdict)
