"""Settings of one event-loop process, whatever file they came from."""

from __future__ import annotations

import attrs

from greengagemoor.util.checks import in_range, is_address


def _addresses(_, attribute, value):
    for address in value:
        is_address(_, attribute, address)


@attrs.frozen
class ServingSettings:
    """What one process is told; times in seconds, addresses ip:port.

    Attributes:
        instance: this process's name, unique over all machines.
        peer_address: where other processes of ours reach it.
        seeds: peer addresses of some control instances.
        new_group: whether the whole system starts for the first time.
        caller_address: where callers send requests (entries).
        health_address: where the platform asks whether it is ready (entries).
        control_address: for operators and announcements (control).
        directory_address: for callers that look for entries (control).
        metrics_address: where metrics are read; '' for none.
        data_folder: where durable state lies (control).
        announce_s: how often searchers announce themselves.
        grace_s: time between SIGTERM and the end that the platform forces.
        catch_up_s: how long after its start a control instance may take until
            the group bears a further loss.
        retry_ratio: second sends allowed for each request, over all entries.
        retry_slack: second sends allowed besides, of all entries to one
            service in each window.
        retry_window_s: length of that window.
        link_bytes_per_s: what this process's link carries, 0 if not told.
        data_centres: all that there are, () if that isn't told.
    """

    instance: str
    data_centre: str
    peer_address: str = attrs.field(validator=is_address)
    seeds: tuple[str, ...] = attrs.field(validator=_addresses)
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
    link_bytes_per_s: float = attrs.field(
        default=0.0, validator=in_range(0, 1e12)
    )
    data_centres: tuple[str, ...] = ()
    seed: int = 0

    @property
    def founds(self) -> bool:
        """Whether this process is told to found the control group."""
        return self.new_group and self.peer_address in self.seeds

    @property
    def other_seeds(self) -> dict[str, str]:
        """The seeds but this process, by instance: they are named by IP."""
        named = {seed.partition(":")[0]: seed for seed in self.seeds}
        named.pop(self.instance, None)
        return named
