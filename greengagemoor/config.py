"""Settings of an instance: type, default, validators and description."""

from __future__ import annotations

from pathlib import Path

import attrs

from greengagemoor.errors import InvalidInputError, SettingsError
from greengagemoor.util import json_conversion
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
    """Declares a setting.

    Args:
        default: value if the file has none; NOTHING makes it required.
        *checks: validators, applied in order.
        doc: one line for ``greengagemoorctl explain-settings`` and the docs.
    """
    return attrs.field(
        default=default, validator=list(checks), metadata={"doc": doc}
    )


@attrs.frozen
class PeerSettings:
    """Name and address of another instance."""

    instance: str = value(attrs.NOTHING, is_name, doc="name of the instance")
    address: str = value(attrs.NOTHING, is_address, doc="its peer IP:PORT")


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of a ``greengagemoord`` process."""

    instance: str = value(
        attrs.NOTHING, is_name, doc="name of this instance, unique in the fleet"
    )
    data_centre: str = value(
        attrs.NOTHING, is_name, doc="data centre of this instance"
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
        attrs.NOTHING, is_address, doc="IP:PORT for other instances"
    )
    control_group: tuple[PeerSettings, ...] = value(
        (),
        unique_by(lambda peer: peer.instance),
        doc="initial voters of the control group; used for a new group only",
    )
    seeds: tuple[PeerSettings, ...] = value(
        (),
        unique_by(lambda peer: peer.instance),
        doc="instances that are first asked for the membership table",
    )
    data_folder: str = value(
        "", doc="folder for durable state; required for the control role"
    )
    new_group: bool = value(
        False,
        doc="with an empty data folder, may start the group in control_group",
    )
    http_threads: int = value(
        48, in_range(4, 2000), doc="threads that serve HTTP connections"
    )
    waiting_requests: int = value(
        32, in_range(1, 1900), doc="requests that may wait for an answer"
    )
    attempt_threads: int = value(
        64,
        in_range(1, 2000),
        doc="attempts to backend servers that may run at once",
    )
    max_body_bytes: int = value(
        1_048_576, in_range(1024, 64_000_000), doc="largest HTTP body accepted"
    )
    max_header_bytes: int = value(
        16_384, in_range(1024, 1_048_576), doc="largest HTTP header accepted"
    )
    read_timeout_s: float = value(
        5.0, in_range(0.1, 600), doc="maximum wait for bytes of a request"
    )
    gossip_interval_s: float = value(
        0.5, in_range(0.01, 60), doc="time between anti-entropy rounds"
    )
    heartbeat_s: float = value(
        0.15,
        in_range(0.005, 60),
        doc="heartbeat interval of the control leader",
    )
    election_s: float = value(
        1.0, in_range(0.02, 600), doc="shortest election timeout"
    )
    addresses_valid_s: float = value(
        5.0,
        in_range(0.1, 3600),
        doc="seconds for which callers may cache addresses",
    )
    leave_margin_s: float = value(
        1.0,
        in_range(0.0, 600),
        doc="extra seconds of serving after addresses expire",
    )
    seed: int = value(
        0, doc="seed of the deciders' random generator; 0: from the name"
    )
    log_level: str = value(
        "INFO",
        one_of("DEBUG", "INFO", "WARNING", "ERROR"),
        doc="minimum level of logged events",
    )

    def __attrs_post_init__(self):
        if not self.roles:
            raise ValueError("roles: empty, expected at least one role")
        if self.is_control and not self.data_folder:
            raise ValueError("data_folder: required for the control role")
        if self.http_threads < self.waiting_requests + 4:
            raise ValueError(
                "http_threads: must be at least waiting_requests + 4, so "
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
        SettingsError: lists every fault with its JSON path.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError([f"can't read {path}: {exc.strerror}"]) from exc
    try:
        return json_conversion.decode_json(text, Settings)
    except InvalidInputError as exc:
        raise SettingsError(exc.faults) from exc
