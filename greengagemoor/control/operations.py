"""Operations asked of the leader: apply, read, claim, outcome, members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code
from greengagemoor.control import election, members
from greengagemoor.control.commands import ApplyDocument
from greengagemoor.control.documents import ApplyResult
from greengagemoor.control.ledger import ClaimAnswer
from greengagemoor.control.messages import Confirmed, OpKind, OpReply, Send
from greengagemoor.control.state import PendingOp, PendingRead, Role
from greengagemoor.errors import DocumentError

if TYPE_CHECKING:
    from greengagemoor.control.messages import OpRequest
    from greengagemoor.control.state import Applied, State


_READS = frozenset({OpKind.READ, OpKind.READ_NUMBERED})


def take(state: State, asker: str, req: OpRequest) -> None:
    """Takes in an operation; only a leader sure of its term serves it."""
    if not _serves(state):
        reply = OpReply(
            req.op_id, Code.NOT_LEADER, leader=state.leader_instance
        )
        state.out.append(Send(asker, reply))
        return
    if req.kind in _READS:
        _take_read(state, asker, req)
    elif req.kind is OpKind.REMOVE_MEMBER:
        _take_removal(state, asker, req)
    elif not _answer_at_once(state, asker, req):
        _propose(state, asker, req)


def _answer_at_once(state: State, asker: str, req: OpRequest) -> bool:
    """Answers what needs no log entry; tells whether it did."""
    if req.kind is OpKind.APPLY:
        return _answer_apply(state, asker, req)
    if req.kind is OpKind.PUT:
        return _answer_put(state, asker, req)
    return False


def _serves(state: State) -> bool:
    """Whether this leader has committed an entry of its own term.

    Before that it may not know all that was accepted before it, and a read
    would go back.
    """
    return state.role is Role.LEADER and state.commit >= state.term_start_index


def _propose(state: State, asker: str, req: OpRequest) -> None:
    command = attrs.evolve(req.command, time=state.now)
    index = election.append(state, command)
    state.pending[index] = PendingOp(asker, req.op_id, req.kind, state.term)


def _answer_apply(state: State, asker: str, req: OpRequest) -> bool:
    """Answers what needs no log entry: a known result, or a bad document."""
    # Imported here, as groups with numbered documents never need it.
    from greengagemoor.document import parse_document

    command: ApplyDocument = req.command
    known = state.machine.documents.known_result(command.apply_id)
    if known is None:
        try:
            parse_document(command.text)
            return False
        except DocumentError as exc:
            faults = "\n".join(exc.faults)
            known = ApplyResult(Code.INVALID, 0, detail=faults)
    state.out.append(Send(asker, _apply_reply(req.op_id, known)))
    return True


def _answer_put(state: State, asker: str, req: OpRequest) -> bool:
    """Answers a number that is not higher than what is committed.

    A resend after a lost reply is as common as the change itself; it needs
    no log entry, since what it asks for is already durable.
    """
    number = state.machine.numbered.number
    if req.command.number > number:
        return False
    reply = OpReply(req.op_id, Code.ACCEPTED, version=number)
    state.out.append(Send(asker, reply))
    return True


def _apply_reply(op_id: int, result: ApplyResult) -> OpReply:
    return OpReply(
        op_id=op_id,
        code=result.code,
        version=result.version,
        winner=result.winner,
        detail=result.detail,
    )


def _take_removal(state: State, asker: str, req: OpRequest) -> None:
    fault = members.remove(state, req.member_id)
    code = Code.CONFLICT if fault else Code.ACCEPTED
    state.out.append(Send(asker, OpReply(req.op_id, code, detail=fault)))


def _take_read(state: State, asker: str, req: OpRequest) -> None:
    """Holds a read until a quorum answers a round that starts after it."""
    read = PendingRead(
        asker, req.op_id, req.known_version, state.round + 1, req.kind
    )
    state.reads.append(read)
    state.broadcast_due = True


def finish(state: State) -> None:
    """Gives askers the results of what was committed in this tick."""
    for applied in state.results:
        pending = state.pending.pop(applied.entry.index, None)
        if pending is not None:
            _give_result(state, pending, applied)
    state.results.clear()


def _give_result(state: State, op: PendingOp, applied: Applied) -> None:
    if applied.entry.term != op.term:
        reply = OpReply(op.op_id, Code.APPLY_UNKNOWN)
    elif isinstance(applied.result, ApplyResult):
        reply = _apply_reply(op.op_id, applied.result)
    elif isinstance(applied.result, ClaimAnswer):
        reply = OpReply(
            op_id=op.op_id,
            code=Code.ACCEPTED,
            verdict=applied.result.verdict.value,
            text=applied.result.outcome,
        )
    else:
        reply = OpReply(op.op_id, Code.ACCEPTED)
    state.out.append(Send(op.asker, reply))


def confirm(state: State) -> None:
    """Answers reads, and tells all, once a quorum answered a round."""
    if not _serves(state):
        return
    confirmed = _confirmed_round(state)
    if confirmed <= state.confirmed_round and len(state.voters) > 1:
        return
    state.confirmed_round = confirmed
    ready = [read for read in state.reads if read.round <= confirmed]
    state.reads = [read for read in state.reads if read.round > confirmed]
    for read in ready:
        state.out.append(Send(read.asker, _read_reply(state, read)))
    if state.now >= state.confirm_at:
        state.confirm_at = state.now + state.timing.confirm
        stamp = (state.term, confirmed)
        version = state.machine.documents.version
        state.out.append(Confirmed(state.group, stamp, version))


def _confirmed_round(state: State) -> int:
    """Returns the newest round that a majority of the voters answered."""
    rounds = sorted(
        (
            state.round
            if voter == state.member_id
            else state.progress[voter].acked_round
            for voter in state.voters
        ),
        reverse=True,
    )
    return rounds[len(rounds) // 2]


def _read_reply(state: State, read: PendingRead) -> OpReply:
    if read.kind is OpKind.READ_NUMBERED:
        return _numbered_reply(state, read)
    documents = state.machine.documents
    newer = documents.version > read.known_version
    return OpReply(
        op_id=read.op_id,
        code=Code.CURRENT,
        version=documents.version,
        text=documents.text if newer else "",
        leader=state.instance,
    )


def _numbered_reply(state: State, read: PendingRead) -> OpReply:
    numbered = state.machine.numbered
    newer = numbered.number > read.known_version
    return OpReply(
        op_id=read.op_id,
        code=Code.CURRENT,
        version=numbered.number,
        leader=state.instance,
        packed=numbered.packed if newer else b"",
        evacuations=state.machine.evacuations.rows(),
    )
