"""Settings of one process: each value with default, type, check and help."""

from __future__ import annotations

from pathlib import Path

import attrs

from greengagemoor.errors import InvalidInputError, SettingsError
from greengagemoor.util import shape
from greengagemoor.util.checks import (
    in_range,
    is_address,
    is_name,
    one_of,
    unique_by,
)

ENTRY_ROLE = "entry"
CONTROL_ROLE = "control"


def value(default=attrs.NOTHING, *checks, doc: str):
    """Declares one setting.

    Args:
        default: the value when the file has none; NOTHING makes it required.
        *checks: validators, applied in order.
        doc: one line for ``greengagemoord --explain-settings`` and the docs.
    """
    return attrs.field(
        default=default, validator=list(checks), metadata={"doc": doc}
    )


@attrs.frozen
class PeerSettings:
    """Another process of ours that this one may start from."""

    instance: str = value(attrs.NOTHING, is_name, doc="name of the instance")
    address: str = value(attrs.NOTHING, is_address, doc="its peer IP:PORT")


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of a ``greengagemoord`` process."""

    instance: str = value(
        attrs.NOTHING, is_name, doc="name of this instance, unique in the fleet"
    )
    data_centre: str = value(
        attrs.NOTHING, is_name, doc="data centre this instance stands in"
    )
    region: str = value("region-1", is_name, doc="region of the data centre")
    roles: tuple[str, ...] = value(
        (ENTRY_ROLE,),
        lambda _, a, v: [one_of(ENTRY_ROLE, CONTROL_ROLE)(_, a, r) for r in v],
        unique_by(str),
        doc="entry, control, or both",
    )
    http_address: str = value(
        attrs.NOTHING, is_address, doc="IP:PORT for callers and operators"
    )
    peer_address: str = value(
        attrs.NOTHING, is_address, doc="IP:PORT for processes of ours"
    )
    control_group: tuple[PeerSettings, ...] = value(
        (),
        unique_by(lambda peer: peer.instance),
        doc="first voters of the control group; used for a new group only",
    )
    seeds: tuple[PeerSettings, ...] = value(
        (),
        unique_by(lambda peer: peer.instance),
        doc="processes asked first for the membership table",
    )
    data_folder: str = value("", doc="folder for durable state (control)")
    new_group: bool = value(
        False, doc="an empty data folder may start the group named above"
    )
    http_threads: int = value(
        48, in_range(4, 2000), doc="threads that serve HTTP connections"
    )
    waiting_requests: int = value(
        32, in_range(1, 1900), doc="requests that may wait for an answer"
    )
    attempt_threads: int = value(
        64, in_range(1, 2000), doc="attempts to backend servers under way"
    )
    max_body_bytes: int = value(
        1_048_576, in_range(1024, 64_000_000), doc="largest HTTP body accepted"
    )
    max_header_bytes: int = value(
        16_384, in_range(1024, 1_048_576), doc="largest HTTP header accepted"
    )
    read_timeout_s: float = value(
        5.0, in_range(0.1, 600), doc="longest wait for bytes of a request"
    )
    gossip_interval_s: float = value(
        0.5, in_range(0.01, 60), doc="time between anti-entropy rounds"
    )
    heartbeat_s: float = value(
        0.15, in_range(0.005, 60), doc="control leader's heartbeat interval"
    )
    election_s: float = value(
        1.0, in_range(0.02, 600), doc="shortest election timeout"
    )
    addresses_valid_s: float = value(
        5.0, in_range(0.1, 3600), doc="how long callers may keep addresses"
    )
    leave_margin_s: float = value(
        1.0, in_range(0.0, 600), doc="extra time served after leaving"
    )
    seed: int = value(0, doc="seed of the deciders' random source; 0 = by name")
    log_level: str = value(
        "INFO",
        one_of("DEBUG", "INFO", "WARNING", "ERROR"),
        doc="least severe event that is logged",
    )

    def __attrs_post_init__(self):
        if not self.roles:
            raise ValueError("roles: at least one role is needed")
        if self.is_control and not self.data_folder:
            raise ValueError("data_folder: the control role needs one")
        if self.http_threads < self.waiting_requests + 4:
            raise ValueError(
                "http_threads: at least waiting_requests + 4 are needed, so "
                "that refusals are answered while all requests wait"
            )

    @property
    def is_control(self) -> bool:
        """Whether this process has the control role."""
        return CONTROL_ROLE in self.roles

    @property
    def is_entry(self) -> bool:
        """Whether this process has the entry role."""
        return ENTRY_ROLE in self.roles


def load_settings(path: str | Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: with every fault and its JSON path.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError([f"can't read {path}: {exc.strerror}"]) from exc
    try:
        return shape.parse_json(text, Settings)
    except InvalidInputError as exc:
        raise SettingsError(exc.faults) from exc
