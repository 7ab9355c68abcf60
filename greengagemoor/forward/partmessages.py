"""Messages between entries that share the shards of one query.

They travel as protobuf messages of the same names (wire/peers.proto). Times
are seconds from the moment at which a message is read.
"""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class RequestCopy:
    """What searchers are sent of a caller's request.

    Attributes:
        head: header lines, each ended by CR LF.
    """

    method: str = ""
    target: str = ""
    head: bytes = b""
    body: bytes = b""


@values.frozen
class AskPart:
    """Asks another entry to query some shards, and to merge their records.

    Attributes:
        part_id: names the part at the sender.
        services: the shards.
        top: most records of a merged answer.
        attempts: most searchers for each shard.
        rank: 0 is the most urgent.
        objective_s: of the route.
        give_in_s: from then on each answer is told as it comes.
        end_in_s: the last moment for an answer.
        fingerprint: of the request.
    """

    part_id: int
    request_id: str
    route: str
    services: tuple[str, ...]
    top: int
    attempts: int
    rank: int
    objective_s: float
    give_in_s: float
    end_in_s: float
    fingerprint: bytes = b""
    copy: RequestCopy = RequestCopy()


@values.frozen
class PartTaken:
    """The part has been read, and its sends are under way."""

    part_id: int


@values.frozen
class PartConfirmed:
    """The asking entry knows that the part was taken, and waits for it.

    Until then no shard of it may be sent to twice: who asks may have heard
    nothing, and ask the shards itself.
    """

    part_id: int


@values.frozen
class LegEnd:
    """A shard without an answer.

    Attributes:
        runs: sends of it that may have run.
    """

    service: str
    runs: int


@values.frozen
class PartAnswered:
    """What became of some shards of a part, that was not told before.

    Attributes:
        services: whose answers these are.
        signatures: of the searchers, in the order of ``services``.
        body: the greatest records of these answers, falling.
        missing: shards that will have no answer from there.
        over: nothing more will be told.
        sends: when it is over, how often the request was sent.
        refused: nothing was sent.
    """

    part_id: int
    services: tuple[str, ...] = ()
    signatures: tuple[str, ...] = ()
    body: bytes = b""
    missing: tuple[LegEnd, ...] = ()
    over: bool = False
    sends: int = 0
    refused: bool = False


@values.frozen
class PartDropped:
    """The part's answer is no longer wanted.

    Attributes:
        answered: the caller has its answer; else it has gone.
    """

    part_id: int
    answered: bool


# Inside a process.


@values.frozen
class PeerUp:
    """A link to another entry works."""

    name: str


@values.frozen
class PeerDown:
    """The link to another entry is gone."""

    name: str


@values.frozen
class FromPeer:
    """A message came from another entry."""

    name: str
    payload: object


@values.frozen
class ToPeer:
    """Send a message to another entry.

    Attributes:
        token: the caller's request that ``AskPart`` is about.
    """

    name: str
    payload: object
    token: int = 0


@values.frozen
class PartOpened:
    """What to send under a token until ``PartClosed``."""

    token: int
    copy: RequestCopy


@values.frozen
class PartClosed:
    """Nothing more is sent under a token.

    Attributes:
        peer: the entry that asked.
        shards: how many were asked for, and answered.
    """

    token: int
    request_id: str
    route: str
    peer: str
    shards: int
    answered: int
    sends: int
    elapsed_s: float
