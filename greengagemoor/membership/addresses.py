"""Selects the entries that the callers of a service should use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.membership.messages import Addresses, AddressRow
from greengagemoor.membership.rows import InstanceState, rendezvous_weight

if TYPE_CHECKING:
    from greengagemoor.membership.messages import AddressesRequest
    from greengagemoor.membership.rows import InstanceRow
    from greengagemoor.membership.state import State

DEFAULT_ENTRIES_PER_SERVICE = 2

# Best first. Worse states are used only when no entry is in a better one: a
# caller without any address is worse off than one with a doubtful address.
_STATES_BY_PREFERENCE = (
    (InstanceState.READY,),
    (InstanceState.OVERLOADED,),
    (InstanceState.STARTING, InstanceState.SUSPECT),
    (InstanceState.LEAVING,),
)


def handle_address_request(state: State, msg: AddressesRequest) -> None:
    """Replies with the entries of a service, the wanted data centre first."""
    chosen = select_entries(state, msg.service)
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


def select_entries(state: State, service: str) -> list[InstanceRow]:
    """Selects entries by rendezvous hashing, spread over data centres.

    Using few entries per service keeps the number of connections to its
    searchers low and their reuse high, and routes equal queries to the same
    entries.
    """
    candidates = _candidates(state)
    ranked = sorted(
        candidates,
        key=lambda row: rendezvous_weight(service, row.name),
        reverse=True,
    )
    count = _entry_count(state, service)
    chosen: list[InstanceRow] = []
    while ranked and len(chosen) < count:
        used_data_centres = {row.data_centre for row in chosen}
        in_unused = (
            row for row in ranked if row.data_centre not in used_data_centres
        )
        row = next(in_unused, ranked[0])
        chosen.append(row)
        ranked.remove(row)
    return chosen


def _candidates(state: State) -> list[InstanceRow]:
    entries = [
        row
        for row in state.table.live_instances.values()
        if "entry" in row.roles
    ]
    for states in _STATES_BY_PREFERENCE:
        matching = [row for row in entries if row.state in states]
        if matching:
            return matching
    return []


def _entry_count(state: State, service: str) -> int:
    rules = state.document.service(service) if state.document else None
    return rules.entries_per_service if rules else DEFAULT_ENTRIES_PER_SERVICE
