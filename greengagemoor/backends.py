"""Announcements of backend servers; used by membership and query."""

from __future__ import annotations

import enum

import attrs

from greengagemoor.util.checks import (
    at_most,
    in_range,
    is_address,
    is_name,
    unique_by,
)

MAX_VERSIONS = 8
MAX_SHARDS = 20_000
MAX_ANNOUNCED_TO = 4
"""Instances with which a backend server may renew its announcement."""


class ServerState(enum.Enum):
    """State of a backend server; only READY accepts new requests."""

    WARMING = "warming"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@attrs.frozen
class HeldVersion:
    """An index version and the shards of it that a searcher holds.

    The shard count is part of the announcement, so that a shard that no
    searcher holds is still counted as missing.
    """

    version: int = attrs.field(validator=in_range(0, 2**53))
    shard_count: int = attrs.field(validator=in_range(1, MAX_SHARDS))
    shards: tuple[int, ...] = attrs.field(
        validator=[at_most(MAX_SHARDS), unique_by(int)]
    )

    def __attrs_post_init__(self):
        outside = [s for s in self.shards if not 0 <= s < self.shard_count]
        if outside:
            raise ValueError(
                f"shards: {outside[:5]} outside 0 to {self.shard_count - 1}"
            )


@attrs.frozen
class BackendServer:
    """An announcement of a backend server (searcher).

    Attributes:
        incarnation: increased by the server at each start; orders its
            announcements together with ``sequence``.
        connect_cost_s: seconds to open a new connection.
        load: reported load, from 0 to 1 or higher; only a hint.
        announced_to: instances to which it sends renewals, and which detect
            when the renewals stop.
    """

    name: str = attrs.field(validator=is_name)
    incarnation: int = attrs.field(validator=in_range(0, 2**53))
    sequence: int = attrs.field(validator=in_range(0, 2**53))
    address: str = attrs.field(validator=is_address)
    data_centre: str = attrs.field(validator=is_name)
    service: str = attrs.field(validator=is_name)
    state: ServerState
    versions: tuple[HeldVersion, ...] = attrs.field(
        default=(),
        validator=[
            at_most(MAX_VERSIONS),
            unique_by(lambda held: held.version),
        ],
    )
    slots: int = attrs.field(default=1, validator=in_range(1, 10_000))
    connection_cap: int = attrs.field(default=1, validator=in_range(1, 100_000))
    connect_cost_s: float = attrs.field(default=0.0, validator=in_range(0, 60))
    load: float = attrs.field(default=0.0, validator=in_range(0, 1000))
    announced_to: tuple[str, ...] = attrs.field(
        default=(), validator=[at_most(MAX_ANNOUNCED_TO), unique_by(str)]
    )

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: later announcements of a server compare greater."""
        return (self.incarnation, self.sequence)
