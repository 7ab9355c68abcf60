"""What a member of the control group tells its operators."""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class MembersChanged:
    """The member list that this member goes by has changed.

    Attributes:
        joined: member ids that are new in the list.
        promoted: member ids of learners that vote from now on.
        left: member ids that are no longer in the list.
        voters: number of voters after the change.
        learners: number of members without a vote after it.
        majority: voters that must agree from now on.
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
class JoinWaiting:
    """This process asks to be taken into a group, so far in vain.

    Attributes:
        asked: instances that were asked last.
        reason: what their answers say.
        age_s: seconds since it began to ask.
    """

    asked: tuple[str, ...]
    reason: str
    age_s: float
