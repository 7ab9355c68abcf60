"""Logs the notices of a member of the control group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.control.notices import JoinPending, MembersChanged

if TYPE_CHECKING:
    from collections.abc import Callable, Container


def log_notice(msg: object, linked: Container[str]) -> bool:
    """Logs a notice; returns whether the message was one.

    Args:
        msg: an output message of the member.
        linked: names of the instances to which a link is open.
    """
    if isinstance(msg, JoinPending):
        _log_join_waiting(msg, linked)
        return True
    writer = LOGGERS_BY_NOTICE.get(type(msg))
    if writer is None:
        return False
    writer(msg)
    return True


def _log_members(msg: MembersChanged) -> None:
    log.event(
        "members",
        joined=",".join(msg.joined),
        promoted=",".join(msg.promoted),
        left=",".join(msg.left),
        voters=msg.voters,
        learners=msg.learners,
        majority=msg.majority,
        term=msg.term,
        reason=msg.reason,
    )


def _log_join_waiting(
    msg: JoinPending, linked: Container[str] | None = None
) -> None:
    """Logs a wait; ``linked`` is None where links are opened per message."""
    open_links = () if linked is None else [n for n in msg.asked if n in linked]
    log.event(
        "join_waiting",
        level="WARNING",
        asked=",".join(msg.asked),
        linked="unknown" if linked is None else ",".join(open_links),
        reason=msg.reason,
        age_s=round(msg.age_s, 1),
        voters=msg.voters,
        majority=msg.majority,
    )


LOGGERS_BY_NOTICE: dict[type, Callable[[object], None]] = {
    MembersChanged: _log_members,
    JoinPending: _log_join_waiting,
}
