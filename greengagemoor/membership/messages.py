"""Messages into and out of the membership decider."""

from __future__ import annotations

import attrs

from greengagemoor.backends import BackendServer
from greengagemoor.codes import Code
from greengagemoor.membership.rows import InstanceRow, ServerRow

# Between instances (wire/peers.proto).


@attrs.frozen
class Freshness:
    """The newest confirmation by the control group that is known here.

    Attributes:
        group: the control group that confirmed.
        term: the leader's term.
        round: the leader's heartbeat round; (term, round) only grows.
        version: the document version that was current then.
    """

    group: str = ""
    term: int = 0
    round: int = 0
    version: int = 0


@attrs.frozen
class Rows:
    """Rows that the receiver may lack."""

    instances: tuple[InstanceRow, ...] = ()
    servers: tuple[ServerRow, ...] = ()


@attrs.frozen
class ProbeFields:
    """The fields that a probe and its answer share.

    Attributes:
        number: the prober's number of this exchange.
        root: digest over all live rows.
        document_version: version that the sender has in force.
        relay_for: instance that asked for this probe, or ''.
        relay_number: that instance's probe number.
    """

    number: int
    root: int
    document_version: int
    fresh: Freshness
    rows: Rows
    relay_for: str = ""
    relay_number: int = 0


@attrs.frozen
class Probe(ProbeFields):
    """One anti-entropy exchange, which is also a liveness probe."""


@attrs.frozen
class Ack(ProbeFields):
    """Answers a ``Probe``, with changed rows."""


@attrs.frozen
class ProbeFor:
    """Asks another instance to probe one that did not answer."""

    target: str
    number: int


@attrs.frozen
class RelayedAck:
    """Reports that the target of a ``ProbeFor`` answered."""

    number: int


@attrs.frozen
class Buckets:
    """Digests of all buckets, four bytes each.

    Attributes:
        start: first bucket to compare.
    """

    digests: bytes
    start: int = 0


@attrs.frozen
class RowKey:
    """A row's key and order, without its content."""

    key: str
    incarnation: int
    sequence: int
    watch: int
    rank: int

    @property
    def order(self) -> tuple[int, int, int, int]:
        """Comparable with ``Row.order``."""
        return (self.incarnation, self.sequence, self.watch, self.rank)


@attrs.frozen
class BucketKeys:
    """The keys of the sender's rows in some buckets.

    Attributes:
        next: the next bucket that differs; 0 if there is none.
    """

    buckets: tuple[int, ...]
    keys: tuple[RowKey, ...]
    next: int = 0


@attrs.frozen
class RowsWanted:
    """Asks for rows by key."""

    keys: tuple[str, ...]


@attrs.frozen
class WantDocument:
    """Asks for the document if the receiver has a newer one."""

    known_version: int


@attrs.frozen
class DocumentCopy:
    """An accepted document; ``packed`` is zlib-compressed JSON."""

    version: int
    packed: bytes


@attrs.frozen
class HeardQuery:
    """Asks another watcher whether it still receives a server's renewals."""

    key: str


@attrs.frozen
class HeardReply:
    """Answers a ``HeardQuery``."""

    key: str
    heard: bool


# From callers, backend servers and operators, through the shell.


@attrs.frozen
class Announce:
    """A backend server's announcement, checked for form.

    Attributes:
        renewal: grows with each sending, so that a copy of an old one does
            not count as a heartbeat.
    """

    token: int
    server: BackendServer
    renewal: int


@attrs.frozen
class AnnounceReply:
    """Result of an announcement.

    Attributes:
        incarnation: with ``sequence``, the newest order known; a server that
            was rejected as stale announces a higher one.
    """

    token: int
    code: Code
    incarnation: int = 0
    sequence: int = 0
    detail: str = ""


@attrs.frozen
class AddressesRequest:
    """Asks which entries the callers of a service should use."""

    token: int
    service: str
    data_centre: str = ""


@attrs.frozen
class AddressRow:
    """An entry that callers may use."""

    instance: str
    http_address: str
    data_centre: str


@attrs.frozen
class Addresses:
    """Entries in order of preference, and how long they are valid."""

    token: int
    service: str
    addresses: tuple[AddressRow, ...]
    valid_for_s: float


@attrs.frozen
class Leave:
    """Withdraws this instance from the addresses as it shuts down."""


@attrs.frozen
class Stop:
    """Notifies peers that this instance is gone, as it ends now."""


@attrs.frozen
class OverloadChanged:
    """Whether this entry rejects requests because of overload."""

    active: bool


@attrs.frozen
class DocumentConfirmed:
    """A quorum confirmed this document as current.

    Attributes:
        text: empty if this instance has that version.
    """

    version: int
    text: str
