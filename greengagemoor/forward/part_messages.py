"""Messages between entries that share the shards of one query.

They are sent as protobuf messages of the same names (wire/peers.proto). Times
are in seconds from the moment at which a message is read.
"""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class RequestCopy:
    """The part of a caller's request that is forwarded to searchers.

    Attributes:
        head: header lines, each terminated by CR LF.
    """

    method: str = ""
    target: str = ""
    head: bytes = b""
    body: bytes = b""


@values.frozen
class AskPart:
    """Asks another entry to query some shards and to merge their records.

    Attributes:
        part_id: id of the part at the sender.
        services: the services of the shards.
        top: most records of a merged answer.
        attempts: most searchers for each shard.
        rank: 0 is the most urgent.
        objective_s: latency objective of the route.
        give_in_s: from then on each answer is reported as it arrives.
        end_in_s: deadline of the answer.
        fingerprint: fingerprint of the request.
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
    """Acknowledges a part; its sends are in flight."""

    part_id: int


@values.frozen
class PartConfirmed:
    """The asking entry has received ``PartTaken`` and waits for the part.

    Until a helper receives it, no shard of the part may be sent a second
    request: the asking entry may have missed ``PartTaken`` and may query the
    shards itself.
    """

    part_id: int


@values.frozen
class LegEnd:
    """A shard without an answer.

    Attributes:
        runs: sends to it that may have run.
    """

    service: str
    runs: int


@values.frozen
class PartAnswered:
    """Results of some shards of a part that were not reported before.

    Attributes:
        services: the services whose answers are included.
        signatures: the searchers' signatures, in the order of ``services``.
        body: the greatest records of these answers, in descending order.
        missing: shards that the sender will not answer.
        over: this is the last message about the part.
        sends: if ``over``, how often the request was sent.
        refused: the part was rejected and nothing was sent.
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
        answered: the caller has a good answer. False if it has left, if its
            request failed, or if the asking entry took the shards back.
    """

    part_id: int
    answered: bool


# Messages within a process.


@values.frozen
class PeerUp:
    """The link to another entry is up."""

    name: str


@values.frozen
class PeerDown:
    """The link to another entry is down."""

    name: str


@values.frozen
class FromPeer:
    """A message received from another entry."""

    name: str
    payload: object


@values.frozen
class ToPeer:
    """Sends a message to another entry.

    Attributes:
        token: for ``AskPart``, the caller's request.
    """

    name: str
    payload: object
    token: int = 0


@values.frozen
class PartOpened:
    """The request to send for a token until ``PartClosed``."""

    token: int
    copy: RequestCopy


@values.frozen
class PartClosed:
    """Nothing more is sent for a token.

    Attributes:
        peer: the entry that asked for the part.
        shards: number of shards that were asked for.
        answered: number of shards that were answered.
    """

    token: int
    request_id: str
    route: str
    peer: str
    shards: int
    answered: int
    sends: int
    elapsed_s: float
