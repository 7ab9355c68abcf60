"""Notices of a control group member to its operators."""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class MembersChanged:
    """The member list used by this member has changed.

    Attributes:
        joined: member ids that are new in the list.
        promoted: member ids of learners that became voters.
        left: member ids that are no longer in the list.
        voters: number of voters after the change.
        learners: number of members without a vote after the change.
        majority: number of voters that must agree from now on.
        reason: why the leader changed it, or where the list came from.
    """

    joined: tuple[str, ...]
    promoted: tuple[str, ...]
    left: tuple[str, ...]
    voters: int
    learners: int
    majority: int
    term: int
    reason: str


@values.frozen
class JoinPending:
    """This process asks to join a group and has not been admitted yet.

    Attributes:
        asked: instances that were asked last.
        reason: why it has not been admitted, according to the replies.
        age_s: seconds since the first request.
        voters: number of voters in the member list of this process.
        majority: number of voters that must agree; 0 without a list.
    """

    asked: tuple[str, ...]
    reason: str
    age_s: float
    voters: int
    majority: int
