"""Rows of the soft state that all instances share."""

from __future__ import annotations

import enum
import hashlib
from functools import lru_cache

import attrs

from greengagemoor.backends import BackendServer, ServerState


class InstanceState(enum.Enum):
    """Lifecycle state of an instance, as other instances see it."""

    STARTING = "starting"
    READY = "ready"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


_INSTANCE_RANK = {state: rank for rank, state in enumerate(InstanceState)}
_SERVER_RANK = {state: rank for rank, state in enumerate(ServerState)}


@attrs.frozen
class InstanceRow:
    """One instance.

    Attributes:
        incarnation: raised at each start.
        sequence: raised by the instance itself at each change of its row.
    """

    name: str
    incarnation: int
    sequence: int
    state: InstanceState
    peer_address: str
    http_address: str
    data_centre: str
    region: str
    roles: tuple[str, ...]

    @property
    def key(self) -> str:
        """Key in the table."""
        return f"i:{self.name}"

    @property
    def order(self) -> tuple[int, int, int, int]:
        """Sort key: later rows of the same instance compare greater.

        At an equal sequence, suspect wins over the live states and gone over
        all: only the instance itself can refute, with a higher sequence.
        """
        return (
            self.incarnation,
            self.sequence,
            0,
            _INSTANCE_RANK[self.state],
        )

    @property
    def is_gone(self) -> bool:
        """Whether the row is a tombstone, kept to reject older rows."""
        return self.state is InstanceState.GONE


@attrs.frozen
class ServerRow:
    """One backend server.

    Attributes:
        server: its latest announcement.
        watch: raised by a watching instance that overrules another one; a new
            announcement of the server itself overrules all of them.
        lost: whether its watchers no longer receive its renewals.
    """

    server: BackendServer
    watch: int = 0
    lost: bool = False

    @property
    def key(self) -> str:
        """Key in the table."""
        return server_key(self.server.service, self.server.name)

    @property
    def order(self) -> tuple[int, int, int, int]:
        """Sort key: later rows of the same server compare greater.

        At an equal sequence, draining wins over ready and gone over both, so
        that a duplicate or late announcement cannot bring a server back.
        """
        rank = 2 * _SERVER_RANK[self.server.state] + self.lost
        return (*self.server.order, self.watch, rank)

    @property
    def is_gone(self) -> bool:
        """Whether the row is a tombstone, kept to reject older rows."""
        return self.lost or self.server.state is ServerState.GONE


Row = InstanceRow | ServerRow


def server_key(service: str, name: str) -> str:
    """Returns the table key of a backend server."""
    return f"b:{service}/{name}"


def hash64(text: str) -> int:
    """Returns a 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


@lru_cache(maxsize=65536)
def rendezvous_weight(key: str, candidate: str) -> int:
    """Returns the weight of a candidate for a key; the highest wins.

    When a candidate is added or removed, only the keys that it wins move.
    """
    return hash64(f"{key}\0{candidate}")
