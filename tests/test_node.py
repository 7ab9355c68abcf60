"""Golden file of a complete session through the deciders."""

from __future__ import annotations

import attrs

from greengagemoor.control.client import OperationRequest
from greengagemoor.control.commands import ApplyDocument
from greengagemoor.control.messages import OpKind
from greengagemoor.membership.messages import AddressesRequest, Announce
from greengagemoor.query.messages import Request
from tests.fakes import DOCUMENT, FakeFleet, answer_to, server
from tests.output_text import format_output


def start_fleet(entries=("e1", "e2"), controls=("c1",), seed: int = 1):
    """Returns a fleet whose entries are ready, with searchers a, b and c."""
    fleet = FakeFleet(seed)
    for name in controls:
        fleet.add(name, ("control",), group=controls)
    for number, name in enumerate(entries, 1):
        fleet.add(name, ("entry",), group=controls, dc=f"dc{number}")
    fleet.run_until(fleet.leader)
    apply = ApplyDocument("first", 0, DOCUMENT, 0.0)
    ask = OperationRequest("apply", OpKind.APPLY, fleet.now + 5, apply)
    fleet.put(controls[0], ask)
    fleet.run_until(lambda: all_in_state(fleet, entries, "ready"))
    for name in "abc":
        fleet.searchers[name] = lambda msg: (0.01, answer_to(msg))
    return fleet


def all_in_state(fleet, names, state: str) -> bool:
    """Whether all these instances have this state in their own rows."""
    return all(
        fleet.nodes[name].membership.state.me.state.value == state
        for name in names
    )


def announce(fleet, entry: str = "e1", names="abc", **fields) -> None:
    """Makes searchers announce themselves to one entry."""
    for token, name in enumerate(names, 100):
        row = server(name, announced_to=(entry,), **fields)
        fleet.put(entry, Announce(token, row, fields.get("sequence", 1)))


class TestSession:
    """Apply, announce, addresses, a query and its answer."""

    def test_whole_session(self, file_regression):
        fleet = start_fleet()
        announce(fleet)
        fleet.run(2.0)
        fleet.put("e2", AddressesRequest(1, "s"))
        fleet.put("e2", Request(2, "atlas", "read", "r-1", "s", body='"q"'))
        booking = Request(
            3, "atlas", "book", "3000-x", "s", repeatable=False, key="well-7"
        )
        fleet.put("e1", booking)
        fleet.run(1.0)
        fleet.put("e2", attrs.evolve(booking, token=4))
        fleet.run(1.0)
        file_regression.check(format_output(fleet))
