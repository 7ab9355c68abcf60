"""Messages of a process that asks to join a control group."""

from __future__ import annotations

from greengagemoor.control.commands import Member
from greengagemoor.util import values


@values.frozen
class JoinRequest:
    """A control instance asks to join a group.

    Attributes:
        round: number of the sender's round of requests; echoed in replies.
        forwarded: whether a member forwarded it to its leader; it is not
            forwarded a second time.
    """

    member_id: str
    instance: str
    address: str
    round: int = 0
    forwarded: bool = False


@values.frozen
class JoinReply:
    """The sender's group, leader and members, for a joiner.

    Attributes:
        group: the group that the sender belongs to, '' for none.
        member_id: the sender's member id under its current identity.
        may_found: whether the sender was configured to found a group, has
            never belonged to one, and still has the disk that it had then.
        leader: member id of the leader, '' if none is known.
        members: the leader, if known, and some of the group's voters.
        round: as in the request.
    """

    group: str
    member_id: str = ""
    may_found: bool = False
    leader: str = ""
    members: tuple[Member, ...] = ()
    round: int = 0


@values.frozen
class SeedsChanged:
    """The control instances named in the settings have changed.

    Attributes:
        seeds: peer addresses by instance.
    """

    seeds: dict[str, str]
