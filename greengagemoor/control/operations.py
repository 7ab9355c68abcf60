"""Operations that the leader serves, such as applies, reads and claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code
from greengagemoor.control import election, members
from greengagemoor.control.commands import ApplyDocument
from greengagemoor.control.documents import ApplyResult
from greengagemoor.control.ledger import ClaimAnswer
from greengagemoor.control.messages import (
    OpKind,
    OpReply,
    Send,
    VersionConfirmed,
)
from greengagemoor.control.state import PendingOp, PendingRead, Role
from greengagemoor.errors import DocumentError

if TYPE_CHECKING:
    from greengagemoor.control.messages import OpRequest
    from greengagemoor.control.state import Applied, State


_READ_KINDS = frozenset({OpKind.READ, OpKind.READ_NUMBERED})


def handle_request(state: State, requester: str, req: OpRequest) -> None:
    """Handles an operation, or redirects it if this member can't serve it."""
    if not _can_serve(state):
        reply = OpReply(
            req.op_id, Code.NOT_LEADER, leader=state.leader_instance
        )
        state.out.append(Send(requester, reply))
        return
    if req.kind in _READ_KINDS:
        _hold_read(state, requester, req)
    elif req.kind is OpKind.REMOVE_MEMBER:
        _remove_member(state, requester, req)
    elif not _try_answer_immediately(state, requester, req):
        _propose(state, requester, req)


def _try_answer_immediately(
    state: State, requester: str, req: OpRequest
) -> bool:
    """Answers without a log entry if possible; returns whether it did."""
    if req.kind is OpKind.APPLY:
        return _answer_apply(state, requester, req)
    if req.kind is OpKind.PUT:
        return _answer_put(state, requester, req)
    return False


def _can_serve(state: State) -> bool:
    """Whether this leader has committed an entry of its own term.

    Before that it may not know which earlier entries are committed, and a
    read could return an older state.
    """
    return state.role is Role.LEADER and state.commit >= state.term_start_index


def _propose(state: State, requester: str, req: OpRequest) -> None:
    command = attrs.evolve(req.command, time=state.now)
    index = election.append(state, command)
    state.pending[index] = PendingOp(requester, req.op_id, req.kind, state.term)


def _answer_apply(state: State, requester: str, req: OpRequest) -> bool:
    """Answers a known apply id or an invalid document without a log entry."""
    # Imported here, as groups with numbered documents never need it.
    from greengagemoor.document import parse_document

    command: ApplyDocument = req.command
    result = state.machine.documents.stored_result(command.apply_id)
    if result is None:
        try:
            parse_document(command.text)
            return False
        except DocumentError as exc:
            faults = "\n".join(exc.faults)
            result = ApplyResult(Code.INVALID, 0, detail=faults)
    state.out.append(Send(requester, _apply_reply(req.op_id, result)))
    return True


def _answer_put(state: State, requester: str, req: OpRequest) -> bool:
    """Answers a put whose number is not higher than the committed one.

    Resends after a lost reply are as common as changes. They need no log
    entry, since the document is already durable.
    """
    number = state.machine.numbered.number
    if req.command.number > number:
        return False
    reply = OpReply(req.op_id, Code.ACCEPTED, version=number)
    state.out.append(Send(requester, reply))
    return True


def _apply_reply(op_id: int, result: ApplyResult) -> OpReply:
    return OpReply(
        op_id=op_id,
        code=result.code,
        version=result.version,
        winner=result.winner,
        detail=result.detail,
    )


def _remove_member(state: State, requester: str, req: OpRequest) -> None:
    error = members.remove(state, req.member_id)
    code = Code.CONFLICT if error else Code.ACCEPTED
    state.out.append(Send(requester, OpReply(req.op_id, code, detail=error)))


def _hold_read(state: State, requester: str, req: OpRequest) -> None:
    """Holds a read until a quorum answers a round that starts after it."""
    read = PendingRead(
        requester, req.op_id, req.known_version, state.round + 1, req.kind
    )
    state.reads.append(read)
    state.broadcast_due = True


def send_results(state: State) -> None:
    """Sends the results of entries committed in this tick to requesters."""
    for applied in state.results:
        pending = state.pending.pop(applied.entry.index, None)
        if pending is not None:
            _send_result(state, pending, applied)
    state.results.clear()


def _send_result(state: State, op: PendingOp, applied: Applied) -> None:
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
    state.out.append(Send(op.requester, reply))


def answer_confirmed_reads(state: State) -> None:
    """Answers reads and reports the version once a quorum answered a round."""
    if not _can_serve(state):
        return
    confirmed = _confirmed_round(state)
    if confirmed <= state.confirmed_round and len(state.voters) > 1:
        return
    state.confirmed_round = confirmed
    confirmed_reads = [read for read in state.reads if read.round <= confirmed]
    state.reads = [read for read in state.reads if read.round > confirmed]
    for read in confirmed_reads:
        state.out.append(Send(read.requester, _read_reply(state, read)))
    if state.now >= state.confirm_at:
        state.confirm_at = state.now + state.timing.confirm
        stamp = (state.term, confirmed)
        version = state.machine.documents.version
        state.out.append(VersionConfirmed(state.group, stamp, version))


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
