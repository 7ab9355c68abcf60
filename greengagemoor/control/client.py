"""Client that sends operations to the control group's current leader."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code
from greengagemoor.control.messages import (
    OpKind,
    OpReply,
    OpRequest,
    Received,
    Send,
)
from greengagemoor.util import values

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from greengagemoor.control.commands import Command

RESEND_AFTER_S = 0.4
"""How long to wait for a reply before sending again."""
RETRY_DELAY_S = 0.05
"""Delay before the next send when no leader is known."""


@values.frozen
class OperationRequest:
    """Requests one operation.

    Attributes:
        token: chosen by the requester; echoed in ``Done``.
        deadline: absolute; ``Done`` is returned by then at the latest.
    """

    token: object
    kind: OpKind
    deadline: float
    command: Command | None = None
    known_version: int = 0
    member_id: str = ""


@values.frozen
class OperationAbandoned:
    """The requester of an operation no longer waits for its result.

    Attributes:
        token: as in ``OperationRequest``.
    """

    token: object


@values.frozen
class Done:
    """The result of an ``OperationRequest``.

    Attributes:
        possibly_accepted: whether a leader may have accepted the operation
            although no definite reply came.
        resubmissions: how often it was sent again with a newer number after a
            conflict.
    """

    token: object
    kind: OpKind
    reply: OpReply
    possibly_accepted: bool = False
    resubmissions: int = 0


@attrs.define(eq=False, repr=False)
class _PendingOperation:
    request: OperationRequest
    op_id: int
    target: str = ""
    resend_at: float = 0.0
    unanswered_sends: int = 0
    possibly_accepted: bool = False
    resubmissions: int = 0

    def done(self, reply: OpReply, *, possibly_accepted: bool = False) -> Done:
        """Returns the result for the requester."""
        return Done(
            self.request.token,
            self.request.kind,
            reply,
            possibly_accepted,
            self.resubmissions,
        )


class ControlClient:
    """Finds the leader and resends operations until a reply or the deadline.

    A resend is safe: the id in the command makes it idempotent.
    """

    def __init__(
        self, targets: Iterable[str], rng: random.Random, first_id: int = 1
    ):
        """Starts without a known leader.

        Args:
            targets: instances with the control role.
            rng: seeded source; picks a target while no leader is known.
            first_id: id of the first operation.
        """
        self.targets = list(targets)
        self._rng = rng
        self._leader = ""
        self._pending: dict[int, _PendingOperation] = {}
        self._ids = count(first_id)

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds, by the clock of the deadlines.
            msgs: ``OperationRequest``, ``OperationAbandoned`` and ``Received``
                with a reply.

        Returns:
            ``Send`` and ``Done``.
        """
        out: list = []
        for msg in msgs:
            if isinstance(msg, OperationRequest):
                pending = _PendingOperation(msg, next(self._ids), resend_at=now)
                self._pending[pending.op_id] = pending
            elif isinstance(msg, OperationAbandoned):
                self._abandon(msg.token, out)
            elif isinstance(msg, Received):
                self._handle_reply(now, msg, out)
        for pending in list(self._pending.values()):
            self._send_or_expire(now, pending, out)
        return out

    @property
    def is_idle(self) -> bool:
        """Whether no operation waits for its result."""
        return not self._pending

    def next_wake(self) -> float | None:
        """Returns when the next resend or deadline is due, None if idle."""
        return min(
            (
                min(p.resend_at, p.request.deadline)
                for p in self._pending.values()
            ),
            default=None,
        )

    def _handle_reply(self, now: float, msg: Received, out: list) -> None:
        reply: OpReply = msg.payload
        pending = self._pending.get(reply.op_id)
        if pending is None:
            return
        if reply.code == Code.NOT_LEADER:
            self._redirect(now, pending, msg.sender, reply.leader)
        elif reply.code == Code.APPLY_UNKNOWN:
            pending.possibly_accepted = True
            pending.resend_at = now + RETRY_DELAY_S
            self._leader = ""
        elif (
            reply.code == Code.CONFLICT
            and pending.request.kind is OpKind.EVACUATE
        ):
            self._resubmit(now, pending, reply.version)
        else:
            self._leader = msg.sender
            del self._pending[reply.op_id]
            out.append(pending.done(reply))

    def _abandon(self, token: object, out: list) -> None:
        """Ends an evacuation command whose operator no longer waits.

        By now the operator may have given a newer command elsewhere, which a
        resubmission would undo. Other operations are not resubmitted with
        another number, so they may go on.
        """
        for pending in list(self._pending.values()):
            request = pending.request
            if request.token == token and request.kind is OpKind.EVACUATE:
                del self._pending[pending.op_id]
                out.append(self._expire(pending))

    def _resubmit(
        self, now: float, pending: _PendingOperation, number: int
    ) -> None:
        """Sends an evacuation command again, based on the current number.

        The operator still waits for it. Another command that was committed
        first, or an outdated number at this instance, does not cancel it.
        """
        command = attrs.evolve(pending.request.command, replaces=number)
        pending.request = attrs.evolve(pending.request, command=command)
        pending.resubmissions += 1
        pending.unanswered_sends = 0
        pending.resend_at = now

    def _redirect(
        self,
        now: float,
        pending: _PendingOperation,
        sender: str,
        suggested_leader: str,
    ) -> None:
        if sender == pending.target:
            pending.unanswered_sends = max(0, pending.unanswered_sends - 1)
        known = suggested_leader in self.targets and suggested_leader != sender
        self._leader = suggested_leader if known else ""
        pending.resend_at = now if known else now + RETRY_DELAY_S

    def _send_or_expire(
        self, now: float, pending: _PendingOperation, out: list
    ) -> None:
        if now >= pending.request.deadline:
            del self._pending[pending.op_id]
            out.append(self._expire(pending))
        elif now >= pending.resend_at and self.targets:
            self._send(now, pending, out)

    def _send(self, now: float, pending: _PendingOperation, out: list) -> None:
        if pending.unanswered_sends:
            # The last target did not reply; it may have accepted the operation.
            pending.possibly_accepted = True
            if pending.target == self._leader:
                self._leader = ""
        others = [t for t in self.targets if t != pending.target]
        pending.target = self._leader or self._rng.choice(
            others or self.targets
        )
        pending.unanswered_sends += 1
        pending.resend_at = now + RESEND_AFTER_S
        ask = pending.request
        request = OpRequest(
            op_id=pending.op_id,
            kind=ask.kind,
            command=ask.command,
            known_version=ask.known_version,
            member_id=ask.member_id,
        )
        out.append(Send(pending.target, request))

    def _expire(self, pending: _PendingOperation) -> Done:
        possibly_accepted = (
            pending.possibly_accepted or pending.unanswered_sends > 0
        )
        code = Code.APPLY_UNKNOWN if possibly_accepted else Code.NOT_ACCEPTED
        reply = OpReply(pending.op_id, code)
        return pending.done(reply, possibly_accepted=possibly_accepted)
