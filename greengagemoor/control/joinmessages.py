"""Messages of a process that is outside a control group and wants in."""

from __future__ import annotations

from greengagemoor.control.commands import Member
from greengagemoor.util import values


@values.frozen
class JoinRequest:
    """A process with the control role asks to belong to a group.

    Attributes:
        round: counts what the asker sent; echoed in the replies.
        forwarded: whether a member passed it on to its leader, so that
            nobody passes it on again.
    """

    member_id: str
    instance: str
    address: str
    round: int = 0
    forwarded: bool = False


@values.frozen
class JoinReply:
    """Tells a joiner what this process knows of a group.

    Attributes:
        group: the group that this process belongs to, '' for none.
        member_id: this process under its present identity.
        may_found: whether it was told to found a group, has never belonged to
            one, and still has the disk with which it was told so.
        leader: member id of the leader, '' if none is known.
        members: some of the group's voters; the leader is among them.
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
    """The settings name other control instances than before.

    Attributes:
        seeds: peer addresses by instance.
    """

    seeds: dict[str, str]
