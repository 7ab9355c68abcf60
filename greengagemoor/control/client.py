"""Asks the control group's leader, whoever that is, within a deadline."""

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

RESEND_S = 0.4
PAUSE_S = 0.05


@values.frozen
class Ask:
    """Asks for one operation.

    Attributes:
        token: chosen by the asker; echoed in ``Done``.
        deadline: absolute; ``Done`` comes then at the latest.
    """

    token: object
    kind: OpKind
    deadline: float
    command: Command | None = None
    known_version: int = 0
    member_id: str = ""


@values.frozen
class Done:
    """The result of an ``Ask``.

    Attributes:
        maybe: without a definite reply, whether a leader may have taken the
            operation in.
    """

    token: object
    kind: OpKind
    reply: OpReply
    maybe: bool = False


@attrs.define(eq=False, repr=False)
class _Pending:
    ask: Ask
    op_id: int
    target: str = ""
    resend_at: float = 0.0
    unanswered: int = 0
    maybe: bool = False


class ControlClient:
    """Finds the leader, resends after a lost reply, gives up in time.

    A resend is safe: the command's own id makes it idempotent.
    """

    def __init__(
        self, targets: Iterable[str], rng: random.Random, first_id: int = 1
    ):
        """Starts without a known leader.

        Args:
            targets: instances with the control role.
            rng: seeded source; picks a target while no leader is known.
            first_id: number of the first operation.
        """
        self.targets = list(targets)
        self._rng = rng
        self._leader = ""
        self._pending: dict[int, _Pending] = {}
        self._ids = count(first_id)

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick over ``Ask`` and ``Received`` replies."""
        out: list = []
        for msg in msgs:
            if isinstance(msg, Ask):
                pending = _Pending(msg, next(self._ids), resend_at=now)
                self._pending[pending.op_id] = pending
            elif isinstance(msg, Received):
                self._take_reply(now, msg, out)
        for pending in list(self._pending.values()):
            self._drive(now, pending, out)
        return out

    @property
    def is_idle(self) -> bool:
        """Whether no operation waits for its result."""
        return not self._pending

    def next_wake(self) -> float | None:
        """Returns when a resend or a deadline is due."""
        return min(
            (min(p.resend_at, p.ask.deadline) for p in self._pending.values()),
            default=None,
        )

    def _take_reply(self, now: float, msg: Received, out: list) -> None:
        reply: OpReply = msg.payload
        pending = self._pending.get(reply.op_id)
        if pending is None:
            return
        if reply.code == Code.NOT_LEADER:
            self._redirect(now, pending, msg.sender, reply.leader)
        elif reply.code == Code.APPLY_UNKNOWN:
            pending.maybe = True
            pending.resend_at = now + PAUSE_S
            self._leader = ""
        elif (
            reply.code == Code.CONFLICT and pending.ask.kind is OpKind.EVACUATE
        ):
            self._give_anew(now, pending, reply.version)
        else:
            self._leader = msg.sender
            del self._pending[reply.op_id]
            out.append(Done(pending.ask.token, pending.ask.kind, reply))

    def _give_anew(self, now: float, pending: _Pending, number: int) -> None:
        """Gives an order again on what holds by now.

        Its operator still waits for it; that another order came in between,
        or that this instance knew an older state, doesn't void it.
        """
        command = attrs.evolve(pending.ask.command, replaces=number)
        pending.ask = attrs.evolve(pending.ask, command=command)
        pending.unanswered = 0
        pending.resend_at = now

    def _redirect(
        self, now: float, pending: _Pending, sender: str, hint: str
    ) -> None:
        if sender == pending.target:
            pending.unanswered = max(0, pending.unanswered - 1)
        known = hint in self.targets and hint != sender
        self._leader = hint if known else ""
        pending.resend_at = now if known else now + PAUSE_S

    def _drive(self, now: float, pending: _Pending, out: list) -> None:
        if now >= pending.ask.deadline:
            del self._pending[pending.op_id]
            out.append(self._give_up(pending))
        elif now >= pending.resend_at and self.targets:
            self._send(now, pending, out)

    def _send(self, now: float, pending: _Pending, out: list) -> None:
        if pending.unanswered:
            # The last target said nothing: it may have taken it in.
            pending.maybe = True
            if pending.target == self._leader:
                self._leader = ""
        others = [t for t in self.targets if t != pending.target]
        pending.target = self._leader or self._rng.choice(
            others or self.targets
        )
        pending.unanswered += 1
        pending.resend_at = now + RESEND_S
        ask = pending.ask
        request = OpRequest(
            op_id=pending.op_id,
            kind=ask.kind,
            command=ask.command,
            known_version=ask.known_version,
            member_id=ask.member_id,
        )
        out.append(Send(pending.target, request))

    def _give_up(self, pending: _Pending) -> Done:
        maybe = pending.maybe or pending.unanswered > 0
        code = Code.APPLY_UNKNOWN if maybe else Code.NOT_ACCEPTED
        reply = OpReply(pending.op_id, code)
        return Done(pending.ask.token, pending.ask.kind, reply, maybe=maybe)
