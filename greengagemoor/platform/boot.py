"""The platform's settings file: lines of ``a.b=value``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from greengagemoor.errors import SettingsError

if TYPE_CHECKING:
    from greengagemoor.serving.settings import ServingSettings

BOOT_VARIABLE = "GREENGAGEMOOR_BOOT"
CALLER_ADDRESS_KEY = "listen-addrs.front"
ZONE_PREFIX = "zones."
BYTES_PER_S_PER_MBPS = 125_000
BYTES_PER_MB = 1_000_000
METRICS_PORT = 9464
"""Same as in the deploy file, which declares the port to the platform."""
DEFAULT_PATH = "/etc/greengagemoor/boot.conf"


def boot_path() -> Path:
    """Returns the path of the settings file."""
    return Path(os.environ.get(BOOT_VARIABLE, DEFAULT_PATH))


def read_caller_address(path: Path) -> str:
    """Reads the address that callers connect to; '' if unset or unreadable.

    It needs few imports of this package, so that a process listens before it
    spends time on importing the rest.
    """
    try:
        return _parse_fields(path.read_text()).get(CALLER_ADDRESS_KEY, "")
    except (OSError, ValueError):
        # ``read_boot`` reads the whole file next and reports the error.
        return ""


def read_boot(path: Path) -> ServingSettings:
    """Reads the settings of this process.

    Ignores other fields: they are new or not used here.

    Raises:
        SettingsError: a field is missing or malformed.
    """
    try:
        return _build_settings(_parse_fields(path.read_text()))
    except KeyError as exc:
        raise SettingsError(
            [f"{path}: field {exc.args[0]} is missing"]
        ) from exc
    except (OSError, ValueError) as exc:
        raise SettingsError([f"{path}: {exc}"]) from exc


def _parse_fields(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {key.strip(): value.strip() for key, _, value in pairs}


def _build_settings(fields: dict[str, str]) -> ServingSettings:
    from greengagemoor.serving.settings import ServingSettings

    ip = fields["ip"]
    peer_port = fields["internal-port-range"].partition(",")[0]
    seeds = (s for s in fields["seed-addrs"].split(",") if s)
    return ServingSettings(
        instance=ip,
        data_centre=fields["zone"],
        peer_address=f"{ip}:{peer_port}",
        # The file has the seeds' addresses for operators; traffic between
        # instances uses the same port everywhere.
        seeds=tuple(f"{s.partition(':')[0]}:{peer_port}" for s in seeds),
        new_group=fields.get("bootstrap") == "true",
        caller_address=fields.get(CALLER_ADDRESS_KEY, ""),
        health_address=fields.get("listen-addrs.ready", ""),
        control_address=fields.get("listen-addrs.control", ""),
        directory_address=fields.get("listen-addrs.directory", ""),
        metrics_address=f"{ip}:{METRICS_PORT}",
        data_folder=fields.get("data-dir", ""),
        announce_s=float(fields.get("heartbeat-ms", "1200")) / 1000,
        grace_s=float(fields.get("bounds.grace-s", "6")),
        catch_up_s=float(fields.get("bounds.catch-up-s", "4")),
        retry_ratio=float(fields.get("bounds.retry-budget-ratio", "0.2")),
        retry_slack=float(fields.get("bounds.retry-budget-slack", "20")),
        retry_window_s=float(fields.get("bounds.budget-window-s", "10")),
        quota_window_s=float(fields.get("bounds.quota-window-s", "5")),
        quota_overage=float(fields.get("bounds.quota-overage", "0.1")),
        quota_slack=float(fields.get("bounds.quota-slack", "20")),
        link_bytes_per_s=float(fields.get("limits.link-mbps", "0"))
        * BYTES_PER_S_PER_MBPS,
        processor_cores=_read_processor_cores(fields),
        memory_bytes=float(fields.get("limits.memory-mb", "0")) * BYTES_PER_MB,
        data_centres=tuple(
            key.removeprefix(ZONE_PREFIX)
            for key in fields
            if key.startswith(ZONE_PREFIX)
        ),
    )


def _read_processor_cores(fields: dict[str, str]) -> float:
    """Reads the speed of this machine's processor, in cores; 0 if not given.

    The platform's ``cores`` is a factor on the speed of its single core.
    """
    share = float(fields.get("limits.cpu-share", "0"))
    return share * float(fields.get("limits.cores", "1"))
