"""Combines the deciders of one process into one, for embedding and tests."""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING

import attrs

from greengagemoor.claims import ClaimToken, ClaimTracker, OutcomeToken
from greengagemoor.codes import Code
from greengagemoor.control import messages as control
from greengagemoor.control.client import (
    ControlClient,
    Done,
    OperationAbandoned,
    OperationRequest,
)
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.join_messages import SeedsChanged
from greengagemoor.control.messages import OpKind, Received, Send
from greengagemoor.membership import messages as membership
from greengagemoor.membership.decider import MembershipDecider
from greengagemoor.membership.rows import InstanceRow
from greengagemoor.query import messages as query
from greengagemoor.query.decider import QueryDecider

if TYPE_CHECKING:
    from collections.abc import Iterable

READ_WAIT_S = 2.0
"""Seconds for which a read of the current document may take."""
READ_RETRY_S = 0.25
"""Seconds between a failed read and the next."""
MAX_OBSERVED_ADDRESSES = 4096
CONTROL_ROLE = "control"


@attrs.frozen
class StartUp:
    """First message to a node; the control role starts with Recovered."""


@attrs.frozen
class RejectNewRequests:
    """Makes the entry reject new requests and finish the running ones."""


@attrs.frozen
class _ReadToken:
    pass


class Node:
    """Routes messages between the deciders of one process.

    ``step`` receives inputs from sockets, disk and clock, and returns the
    actions for the shell: replies, attempts, sends and writes.
    """

    def __init__(
        self,
        membership_decider: MembershipDecider,
        rng: random.Random,
        *,
        query_decider: QueryDecider | None = None,
        control_decider: ControlDecider | None = None,
        control_targets: Iterable[str] = (),
    ):
        self.membership = membership_decider
        self.query = query_decider
        self.control = control_decider
        self.client = ControlClient(control_targets, rng)
        self._configured_targets = set(control_targets)
        self._claims = ClaimTracker()
        self._observed_addresses: dict[str, str] = {}
        self._out: list = []
        self._now = 0.0
        self._next_read_at: float | None = None

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self.membership.state.me.name

    @property
    def is_idle(self) -> bool:
        """Whether no request is running and no outcome is to be recorded."""
        running = self.query is not None and not self.query.is_idle
        return not running and self.client.is_idle

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick: all deciders once, then those with new messages."""
        self._now = max(now, self._now)
        self._out = []
        self._update_control_targets()
        inboxes = _Inboxes()
        for msg in msgs:
            self._route_in(msg, inboxes)
        self._read_document_when_due(inboxes)
        self._run(inboxes, run_all=True)
        while inboxes.any_left():
            self._run(inboxes, run_all=False)
        return self._out

    def _run(self, inboxes: _Inboxes, *, run_all: bool) -> None:
        """Runs the deciders that have messages.

        With ``run_all``, also those without messages, for their timers.
        """
        deciders = (
            (self.membership, inboxes.membership),
            (self.control, inboxes.control),
            (self.client, inboxes.client),
            (self.query, inboxes.query),
        )
        for decider, inbox in deciders:
            if decider is None:
                inbox.clear()
            elif inbox or run_all:
                msgs = list(inbox)
                inbox.clear()
                for msg in decider.step(self._now, msgs):
                    self._route_out(msg, inboxes)

    def next_wake(self) -> float:
        """Returns when the next tick is due if no message arrives."""
        deciders = (self.membership, self.control, self.client, self.query)
        wakes = [d.next_wake() for d in deciders if d is not None]
        wakes.append(self._next_read_at)
        return min(wake for wake in wakes if wake is not None)

    def _update_control_targets(self) -> None:
        """Selects the control instances that the client may ask.

        They come from the settings and the membership table. Those known to
        be gone are left out: after a message that one of them might still
        receive, a refusal would be reported as "may have been accepted".
        """
        table = self.membership.state.table
        found = set(table.by_role.get(CONTROL_ROLE, ()))
        gone = {
            name
            for name in self._configured_targets
            if f"i:{name}" in table.gone_since
        }
        self.client.targets = sorted((found | self._configured_targets) - gone)
        if self.control is not None and self.control.is_joining:
            self.control.add_contacts(
                {n: self._address_of(n) for n in found - gone}
            )

    def _read_document_when_due(self, inboxes: _Inboxes) -> None:
        """Reads the document from a quorum before callers are served.

        Otherwise a restarted process could get an outdated document from a
        stale control instance and serve callers under it.
        """
        if self._next_read_at is None or self._now < self._next_read_at:
            return
        self._next_read_at = None
        operation = OperationRequest(
            token=_ReadToken(),
            kind=OpKind.READ,
            deadline=self._now + READ_WAIT_S,
            known_version=self.membership.state.document_version,
        )
        inboxes.client.append(operation)

    def _route_in(self, msg: object, inboxes: _Inboxes) -> None:
        if isinstance(msg, Received):
            self._record_address(msg)
            inboxes.for_payload(msg.payload).append(msg)
        elif isinstance(msg, StartUp):
            self._next_read_at = self._now
        elif isinstance(msg, RejectNewRequests):
            if self.query is not None:
                self.query.close()
        elif isinstance(msg, (OperationRequest, OperationAbandoned)):
            inboxes.client.append(msg)
        elif isinstance(msg, _QUERY_INPUTS):
            inboxes.query.append(msg)
        elif isinstance(msg, _CONTROL_INPUTS):
            inboxes.control.append(msg)
        else:
            inboxes.membership.append(msg)

    def _route_out(self, msg: object, inboxes: _Inboxes) -> None:
        if isinstance(msg, Send):
            self._route_send(msg, inboxes)
        elif isinstance(msg, _TO_QUERY):
            inboxes.query.append(msg)
            self._out.append(msg)
        elif isinstance(msg, _TO_MEMBERSHIP):
            inboxes.membership.append(msg)
        elif isinstance(msg, query.ClaimWanted):
            me = self.membership.state.me
            inboxes.client.append(
                self._claims.claim_operation(me, self._now, msg)
            )
        elif isinstance(msg, query.RecordOutcomeWanted):
            operation = self._claims.outcome_operation(self._now, msg)
            if operation is not None:
                inboxes.client.append(operation)
        elif isinstance(msg, Done):
            self._route_done(msg, inboxes)
        else:
            self._out.append(msg)

    def _route_send(self, msg: Send, inboxes: _Inboxes) -> None:
        if msg.to == self.instance:
            received = Received(self.instance, msg.payload)
            inboxes.for_payload(msg.payload).append(received)
            return
        if not msg.address:
            msg = attrs.evolve(msg, address=self._address_of(msg.to))
        if msg.address:
            self._out.append(msg)

    def _record_address(self, msg: Received) -> None:
        """Records the address of a sender, so that it can be answered.

        An instance that was partitioned may have stopped gossiping its own
        row before any other instance received it. It is then in no table,
        and gets into one only if its probes are answered.
        """
        if msg.address:
            addresses = self._observed_addresses
            addresses[msg.sender] = msg.address
            while len(addresses) > MAX_OBSERVED_ADDRESSES:
                addresses.pop(next(iter(addresses)))

    def _address_of(self, name: str) -> str:
        state = self.membership.state
        row = state.table.rows.get(f"i:{name}")
        if isinstance(row, InstanceRow):
            return row.peer_address
        return self._observed_addresses.get(name) or state.seeds.get(name, "")

    def _route_done(self, msg: Done, inboxes: _Inboxes) -> None:
        if isinstance(msg.token, _ReadToken):
            self._handle_read(msg, inboxes)
        elif isinstance(msg.token, ClaimToken):
            inboxes.query.append(self._claims.to_claim_decided(msg))
            operation = self._claims.release_operation(self._now, msg)
            if operation is not None:
                inboxes.client.append(operation)
        elif not isinstance(msg.token, OutcomeToken):
            self._out.append(msg)

    def _handle_read(self, msg: Done, inboxes: _Inboxes) -> None:
        if msg.reply.code != Code.CURRENT:
            self._next_read_at = self._now + READ_RETRY_S
            return
        read = membership.DocumentConfirmed(msg.reply.version, msg.reply.text)
        inboxes.membership.append(read)


@attrs.define
class _Inboxes:
    membership: deque = attrs.field(factory=deque)
    control: deque = attrs.field(factory=deque)
    client: deque = attrs.field(factory=deque)
    query: deque = attrs.field(factory=deque)

    def any_left(self) -> bool:
        return any((self.membership, self.control, self.client, self.query))

    def for_payload(self, payload: object) -> deque:
        if isinstance(payload, control.OpReply):
            return self.client
        if isinstance(payload, control.MEMBER_PAYLOADS):
            return self.control
        return self.membership


_QUERY_INPUTS = (
    query.Request,
    query.CallerGone,
    query.AttemptAnswer,
    query.AttemptFailed,
)
_TO_QUERY = (
    query.ServerChanged,
    query.ServerGone,
    query.DocumentChanged,
    query.ControlReady,
)
_TO_MEMBERSHIP = (
    query.DrainReported,
    control.DocumentAccepted,
    control.VersionConfirmed,
)
_CONTROL_INPUTS = (
    control.Persisted,
    control.PersistFailed,
    control.Recovered,
    SeedsChanged,
)
