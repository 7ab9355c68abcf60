"""Turns claims and outcomes of the query decider into ledger operations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.codes import Code
from greengagemoor.control.client import Ask
from greengagemoor.control.commands import Claim, RecordOutcome
from greengagemoor.control.messages import OpKind
from greengagemoor.query.messages import (
    ClaimDecided,
    ClaimVerdict,
    OutcomeKnown,
)
from greengagemoor.util import values
from greengagemoor.util.request_ids import issue_time

if TYPE_CHECKING:
    from greengagemoor.control.client import Done
    from greengagemoor.membership.rows import InstanceRow
    from greengagemoor.query.messages import ClaimWanted

CLAIM_WAIT_S = 1.5
CLAIM_VALID_S = 10.0
OUTCOME_WAIT_S = 60.0


@values.frozen
class ClaimToken:
    """Marks the ledger's answer to a claim."""

    token: int
    caller: str
    request_id: str
    send_before: float


@values.frozen
class OutcomeToken:
    """Marks the ledger's answer to an outcome; nobody waits for it."""


class Claims:
    """Claims under way in this process, by the token of their request."""

    def __init__(self):
        self._claim_ids: dict[int, str] = {}

    def ask(self, me: InstanceRow, now: float, msg: ClaimWanted) -> Ask:
        """Returns the operation that claims a request.

        The claim id names this try of this process: only it may send, and
        only its outcome counts.
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
        return Ask(token, OpKind.CLAIM, now + CLAIM_WAIT_S, command)

    def record(self, now: float, msg: OutcomeKnown) -> Ask | None:
        """Returns the operation that records an outcome, None if not ours."""
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
        return Ask(OutcomeToken(), OpKind.OUTCOME, deadline, command)

    def decided(self, done: Done) -> ClaimDecided:
        """Returns what the query decider is told of a claim."""
        token: ClaimToken = done.token
        return ClaimDecided(
            token=token.token,
            caller=token.caller,
            request_id=token.request_id,
            verdict=_verdict(done),
            send_before=token.send_before,
            outcome=done.reply.text,
        )

    def give_back(self, now: float, done: Done) -> Ask | None:
        """Returns the operation that ends a claim which was not granted.

        A claim that nobody answered in time may still be granted later;
        recording "not run" lets the caller come back with the same id.
        """
        token: ClaimToken = done.token
        if _verdict(done) is ClaimVerdict.GRANTED:
            return None
        if not done.maybe:
            self._claim_ids.pop(token.token, None)
            return None
        released = OutcomeKnown(
            token=token.token,
            caller=token.caller,
            request_id=token.request_id,
            code=Code.NOT_RUN_NO_CONTROL,
            outcome="",
        )
        return self.record(now, released)


def _verdict(done: Done) -> ClaimVerdict:
    if done.reply.code != Code.ACCEPTED:
        return ClaimVerdict.UNAVAILABLE
    return ClaimVerdict(done.reply.verdict)
