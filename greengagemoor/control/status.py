"""Status of a member of the control group, as shown to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.state import Role
from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.control.commands import Member
    from greengagemoor.control.state import State


@values.frozen
class MemberStatus:
    """State of one member, as seen by the member that reports it."""

    member_id: str
    instance: str
    voter: bool
    alive: bool
    match_index: int


@values.frozen
class ControlStatus:
    """What ``greengagemoorctl members`` shows.

    Attributes:
        spare: how many more voters may be lost before the group stops; None
            unless this member is the leader.
    """

    role: str
    group: str
    leader: str
    term: int
    commit: int
    applied: int
    last_index: int
    document_version: int
    ledger_rows: int
    members: tuple[MemberStatus, ...]
    spare: int | None
    warning: str

    def gauges(self) -> dict[str, float]:
        """Returns values for metrics; some are known only to the leader."""
        voters = [row for row in self.members if row.voter]
        counts = {
            "voters": len(voters),
            "learners": len(self.members) - len(voters),
        }
        if self.spare is None:
            return counts
        return {
            **counts,
            "voters_silent": sum(not row.alive for row in voters),
            "losses_borne": max(0, self.spare),
        }


def build_control_status(state: State) -> ControlStatus:
    """Returns the status of one member of the control group."""
    rows = tuple(_member_status(state, x) for x in state.members.values())
    spare = _spare_voters(state, rows)
    return ControlStatus(
        role=state.role.value,
        group=state.group,
        leader=state.leader_instance,
        term=state.term,
        commit=state.commit,
        applied=state.applied,
        last_index=state.log.last_index,
        document_version=state.machine.documents.version,
        ledger_rows=len(state.machine.ledger),
        members=rows,
        spare=spare,
        warning=_warning(state, spare),
    )


def _member_status(state: State, member: Member) -> MemberStatus:
    progress = state.progress.get(member.member_id)
    own = member.member_id == state.member_id
    alive = own or (
        progress is not None
        and progress.answered
        and progress.last_ack >= state.now - state.timing.election
    )
    match_index = state.log.last_index if own else 0
    return MemberStatus(
        member_id=member.member_id,
        instance=member.instance,
        voter=member.voter,
        alive=alive,
        match_index=progress.match_index if progress else match_index,
    )


def _spare_voters(state: State, rows: tuple[MemberStatus, ...]) -> int | None:
    if state.role is not Role.LEADER:
        return None
    alive = sum(row.voter and row.alive for row in rows)
    return alive - (len(state.voters) // 2 + 1)


def _warning(state: State, spare: int | None) -> str:
    if state.failure:
        return f"this member stopped: {state.failure}"
    if spare is None:
        return ""
    if spare <= 0:
        return "a further loss stops the group"
    return ""
