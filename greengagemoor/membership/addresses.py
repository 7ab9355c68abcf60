"""Which entries the callers of a service are told to use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.membership.messages import Addresses, AddressRow
from greengagemoor.membership.rows import InstanceState, rendezvous_weight

if TYPE_CHECKING:
    from greengagemoor.membership.messages import AskAddresses
    from greengagemoor.membership.rows import InstanceRow
    from greengagemoor.membership.state import State

DEFAULT_ENTRIES = 2

# Worse states are used only when no entry is in a better one: a caller with
# no address at all is worse off than one with a doubtful address.
_PREFERENCE = (
    (InstanceState.READY,),
    (InstanceState.OVERLOADED,),
    (InstanceState.STARTING, InstanceState.SUSPECT),
    (InstanceState.LEAVING,),
)


def take(state: State, msg: AskAddresses) -> None:
    """Answers with the entries of a service, best first."""
    chosen = choose(state, msg.service)
    if msg.data_centre:
        chosen.sort(key=lambda row: row.data_centre != msg.data_centre)
    addresses = tuple(
        AddressRow(row.name, row.http_address, row.data_centre)
        for row in chosen
    )
    state.out.append(
        Addresses(
            token=msg.token,
            service=msg.service,
            addresses=addresses,
            valid_for_s=state.timing.addresses_valid,
        )
    )


def choose(state: State, service: str) -> list[InstanceRow]:
    """Returns the service's entries by rendezvous, spread over data centres.

    Few entries for each service keep the connections of its searchers few
    and their reuse high, and bring equal queries together.
    """
    candidates = _candidates(state)
    ranked = sorted(
        candidates,
        key=lambda row: rendezvous_weight(service, row.name),
        reverse=True,
    )
    count = _entries_wanted(state, service)
    chosen: list[InstanceRow] = []
    while ranked and len(chosen) < count:
        used = {row.data_centre for row in chosen}
        fresh = (row for row in ranked if row.data_centre not in used)
        row = next(fresh, ranked[0])
        chosen.append(row)
        ranked.remove(row)
    return chosen


def _candidates(state: State) -> list[InstanceRow]:
    entries = [
        row
        for row in state.table.live_instances.values()
        if "entry" in row.roles
    ]
    for states in _PREFERENCE:
        fitting = [row for row in entries if row.state in states]
        if fitting:
            return fitting
    return []


def _entries_wanted(state: State, service: str) -> int:
    rules = state.document.service(service) if state.document else None
    return rules.entries_per_service if rules else DEFAULT_ENTRIES
