"""Settings of one event-loop process, independent of the file format."""

from __future__ import annotations

import attrs

from greengagemoor.util.checks import in_range, is_address

LINK_BYTES_PER_S_PER_CORE = 12_500_000.0
"""Link of 100 Mbit/s. Half a core with 7 Mbit/s is limited by its link, one
with 500 Mbit/s by its processor; the value between them is an estimate."""
MEMORY_BYTES_PER_CORE = 256e6
"""Estimate: the process itself takes 22 to 53 MB (docs/CAPACITY.md)."""


def _check_addresses(_, attribute, value):
    for address in value:
        is_address(_, attribute, address)


@attrs.frozen
class ServingSettings:
    """Settings of one process; times in seconds, addresses as ip:port.

    Attributes:
        instance: name of this process, unique over all machines.
        peer_address: for other entry and control instances.
        seeds: peer addresses of some control instances.
        new_group: whether the whole system starts for the first time.
        caller_address: for callers' requests (entries).
        health_address: for the platform's readiness checks (entries).
        control_address: for operators and announcements (control).
        directory_address: for callers that look up entries (control).
        metrics_address: for reading the metrics; '' for none.
        data_folder: folder of the durable state (control).
        announce_s: interval of a searcher's announcements.
        grace_s: time from SIGTERM until the platform ends the process.
        catch_up_s: time from the start of a control instance within which the
            group must tolerate a further loss.
        retry_ratio: retries and hedges allowed per request, over all entries.
        retry_slack: retries and hedges allowed in addition, of all entries to
            one service in each window.
        retry_window_s: length of that window.
        quota_window_s: length of each sliding window in which the requests of
            a client account are bounded (control).
        quota_overage: what an account may send beyond its quota in a window,
            as a share of the quota.
        quota_slack: requests that it may send in addition.
        admission_control: whether requests are refused before anything is sent
            when capacity is insufficient (entries).
        link_bytes_per_s: capacity of this process's network link, 0 if not
            given.
        processor_cores: speed of this process's processor in cores, 0 if not
            given.
        memory_bytes: memory that this process may use, 0 if not given.
        data_centres: all data centres, () if not given.
        seed: of the random number generator; 0 for one from the instance name.
    """

    instance: str
    data_centre: str
    peer_address: str = attrs.field(validator=is_address)
    seeds: tuple[str, ...] = attrs.field(validator=_check_addresses)
    new_group: bool = False
    caller_address: str = ""
    health_address: str = ""
    control_address: str = ""
    directory_address: str = ""
    metrics_address: str = ""
    data_folder: str = ""
    announce_s: float = attrs.field(
        default=1.2, validator=in_range(0.01, 600.0)
    )
    grace_s: float = attrs.field(default=6.0, validator=in_range(0.1, 600.0))
    catch_up_s: float = attrs.field(default=4.0, validator=in_range(0.5, 600.0))
    retry_ratio: float = attrs.field(default=0.2, validator=in_range(0, 10.0))
    retry_slack: float = attrs.field(default=20.0, validator=in_range(0, 1e6))
    retry_window_s: float = attrs.field(
        default=10.0, validator=in_range(0.1, 3600.0)
    )
    quota_window_s: float = attrs.field(
        default=5.0, validator=in_range(0.1, 3600.0)
    )
    quota_overage: float = attrs.field(default=0.1, validator=in_range(0, 10.0))
    quota_slack: float = attrs.field(default=20.0, validator=in_range(0, 1e6))
    link_bytes_per_s: float = attrs.field(
        default=0.0, validator=in_range(0, 1e12)
    )
    processor_cores: float = attrs.field(
        default=0.0, validator=in_range(0, 1e6)
    )
    memory_bytes: float = attrs.field(default=0.0, validator=in_range(0, 1e15))
    admission_control: bool = False
    data_centres: tuple[str, ...] = ()
    seed: int = 0

    @property
    def entry_capacity(self) -> float:
        """What this process can carry as an entry, relative to others.

        That is the scarcest of processor, link and memory, each as a multiple
        of what a fully used core needs; 0 if none of them is given.
        """
        known = [
            value
            for value in (
                self.processor_cores,
                self.link_bytes_per_s / LINK_BYTES_PER_S_PER_CORE,
                self.memory_bytes / MEMORY_BYTES_PER_CORE,
            )
            if value
        ]
        return min(known, default=0.0)

    @property
    def founds_group(self) -> bool:
        """Whether the settings tell this process to found the control group."""
        return self.new_group and self.peer_address in self.seeds

    @property
    def other_seeds(self) -> dict[str, str]:
        """Seeds except this process, by instance name, which is the IP."""
        by_instance = {seed.partition(":")[0]: seed for seed in self.seeds}
        by_instance.pop(self.instance, None)
        return by_instance
