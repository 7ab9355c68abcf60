"""A control instance on the event loop: documents, announcements, directory."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections import deque
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.aio import background
from greengagemoor.aio.links import Links
from greengagemoor.aio.loop_watch import LoopWatch
from greengagemoor.aio.server import drain
from greengagemoor.control import messages as control
from greengagemoor.control.client import Done
from greengagemoor.control.join_messages import SeedsChanged
from greengagemoor.errors import DocumentError
from greengagemoor.feed import messages as feed
from greengagemoor.feed.hub import FeedHub
from greengagemoor.feed.timing import Timing as HubTiming
from greengagemoor.serving import message_dispatch, operator_pages
from greengagemoor.serving.control_calls import ControlCalls
from greengagemoor.serving.control_servers import make_servers
from greengagemoor.serving.durable_state import DurableState
from greengagemoor.serving.event_log import (
    ControlStateLog,
    StandingLog,
    UnavailableLog,
)
from greengagemoor.serving.metrics import ServingMetrics
from greengagemoor.serving.open_calls import OpenCalls
from greengagemoor.serving.operations import Operations
from greengagemoor.serving.operators import OPERATION_TIMEOUT_S, OperatorCalls
from greengagemoor.serving.pending_orders import PendingOrders
from greengagemoor.serving.quota_dealing import QuotaDealing
from greengagemoor.serving.recovery import MemberRecovery, make_member
from greengagemoor.serving.ticker import Ticker
from greengagemoor.shell import group_log
from greengagemoor.shell.clock import BootClock, Clock

if TYPE_CHECKING:
    from greengagemoor.control.decider import ControlDecider
    from greengagemoor.control.messages import Send
    from greengagemoor.serving.dialect import Dialect
    from greengagemoor.serving.durable_state import Opened
    from greengagemoor.serving.settings import ServingSettings

OPEN_CALLS_TIMEOUT_S = OPERATION_TIMEOUT_S + 0.1
"""Time in which all open calls are answered, operations being the slowest."""


class ControlApp:
    """Connects the parts of one control instance."""

    def __init__(self, cfg: ServingSettings, dialect: Dialect):
        self.cfg = cfg
        self.clock = Clock()
        self._rng = random.Random(cfg.seed or hash(cfg.instance))
        self._dialect = dialect
        self._ticker = Ticker(self.clock, self._tick)
        self._links = Links(cfg.instance, cfg.peer_address, self._ticker.put)
        first_number = int(1000 * self.clock.now())
        timing = HubTiming(announce=cfg.announce_s)
        self._hub = FeedHub(timing, cfg.instance, first_number)
        self._quotas = QuotaDealing(cfg)
        self._durable = DurableState(
            cfg.data_folder,
            cfg.instance,
            self._ticker.put_threadsafe,
            cfg.other_seeds if cfg.founds_group else None,
        )
        self._recovery = MemberRecovery(
            self._durable,
            self._hub,
            self.clock,
            self._start_member,
            self._ticker.put,
        )
        self._decider: ControlDecider | None = None
        self._state_log = ControlStateLog()
        self._standing_log = StandingLog()
        self._unavailable_log = UnavailableLog()
        self._linked_members: dict | None = None
        self._contacts: dict[str, str] = {}
        self._calls = OpenCalls()
        now = BootClock().now
        self._loop_watch = LoopWatch(now)
        self._operations = Operations(cfg.instance, self._rng, now)
        orders = PendingOrders(asyncio.get_running_loop().call_later, now)
        self._operators = OperatorCalls(
            cfg, dialect, self._calls, self._ticker.put, now, orders
        )
        self.calls = ControlCalls(
            dialect,
            self._ticker.put,
            self.clock,
            self._hub,
            self._calls,
            self._operators,
        )
        self._metrics = ServingMetrics(self._gauges)
        pages = operator_pages.make_pages(
            self._metrics,
            self._hub,
            self._recovery.storage,
            self._ticker.put,
            self._operators,
            orders,
        )
        self._servers = make_servers(cfg, self.calls, pages, self._loop_watch)

    async def start(self) -> None:
        """Starts the listeners and the recovery of the durable state."""
        background.spawn("watch_loop", self._loop_watch.run())
        await self._links.start()
        self._links.set_addresses(set(self.cfg.seeds))
        for server in self._servers:
            await server.start()
        self._recovery.start()
        store = self._recovery.storage.run()
        self._store_task = background.spawn("store", store)

    def _start_member(self, opened: Opened) -> None:
        member = make_member(opened, self.cfg, self._rng)
        self._decider = self._operators.decider = member
        self._ticker.put(opened.recovered)

    def reload(self, cfg: ServingSettings) -> None:
        """Applies changed settings and connects to their seeds."""
        self.cfg = self._operators.cfg = cfg
        self._links.set_addresses({*cfg.seeds, *self._contacts.values()})
        self._ticker.put(SeedsChanged(cfg.other_seeds))

    async def stop(self) -> None:
        """Stops without aborting a call.

        Finishes open calls, each of which has a time limit, and all queued
        disk writes.
        """
        await self._recovery.stop()
        for server in self._servers:
            server.limits.closing = True
            server.stop_accepting()
        timeout_s = min(OPEN_CALLS_TIMEOUT_S, self.cfg.grace_s / 2)
        await drain(self._servers, timeout_s)
        self._store_task.cancel()
        await self._durable.close()

    def _tick(self, now: float, msgs: list) -> float | None:
        inbox = deque(msgs)
        first = True
        while inbox or first:
            first = False
            batch = list(inbox)
            inbox.clear()
            self._step(now, batch, inbox)
        times = [self._hub.next_wake(), self._quotas.dealer.next_wake()]
        times.append(self._operations.next_wake(now))
        if self._decider is not None:
            times.append(self._decider.next_wake())
        return min((at for at in times if at is not None), default=None)

    def _step(self, now: float, batch: list, inbox: deque) -> None:
        out = []
        if any(isinstance(msg, control.PersistFailed) for msg in batch):
            self._restart_member()
        try:
            out += self._step_member(now, batch)
        except Exception as exc:
            # Writes of this step may be lost, although later ones would be
            # reported as synced; only the disk shows the member's state.
            background.log_failure("member", exc)
            self._restart_member()
        out += self._hub.step(now, filter(message_dispatch.is_for_hub, batch))
        self._recovery.storage.store_departures()
        for_client = filter(message_dispatch.is_for_client, batch)
        out += self._operations.step(for_client)
        out += self._quotas.step(now, batch)
        for msg in out:
            self._handle(msg, inbox)

    def _step_member(self, now: float, batch: list) -> list:
        """Runs the member, and hands its writes to the disk."""
        if self._decider is None:
            self._unavailable_log.note(now, batch)
            return []
        self._unavailable_log.end()
        msgs = [msg for msg in batch if message_dispatch.is_for_member(msg)]
        # A member that handled a vote request before it knows its stored term
        # could vote twice in one term.
        msgs.sort(key=lambda msg: not isinstance(msg, control.Recovered))
        out = self._decider.step(now, msgs)
        for msg in out:
            if isinstance(msg, control.Persist):
                self._durable.write(msg)
        self._update_members()
        self._state_log.note(self._decider)
        self._quotas.note_state(self._decider.state)
        return out

    def _handle(self, msg: object, inbox: deque) -> None:
        """Handles one output message; an exception affects no other one."""
        try:
            self._act(msg, inbox)
        except Exception as exc:
            background.log_failure(type(msg).__name__, exc)

    def _act(self, msg: object, inbox: deque) -> None:
        if isinstance(msg, control.Send):
            self._send(msg, inbox)
        elif isinstance(msg, control.NumberedDocumentAccepted):
            self._update_services(msg)
            inbox.append(msg)
        elif isinstance(msg, control.EvacuationsAccepted):
            self._state_log.note_evacuations(msg.rows)
            inbox.append(msg)
        elif isinstance(msg, feed.AnnouncementAccepted):
            reply = self._dialect.write_announcement_accepted(
                self.cfg.control_address
            )
            self._calls.answer(msg.token, reply)
        elif isinstance(msg, feed.AnnouncementRejected):
            reply = self._dialect.write_announcement_rejected()
            self._calls.answer(msg.token, reply)
        elif isinstance(msg, feed.StandingChanged):
            self._standing_log.note(self.clock.now(), msg.row)
        elif isinstance(msg, Done):
            self._calls.complete(msg)
        else:
            group_log.log_notice(msg, self._links.names)

    def _send(self, msg: Send, inbox: deque) -> None:
        if msg.to == self.cfg.instance:
            inbox.append(control.Received(msg.to, msg.payload))
        else:
            self._links.send(msg)

    def _update_services(self, msg: control.NumberedDocumentAccepted) -> None:
        """Passes on the services and accounts of the document in force."""
        try:
            table = self._dialect.read_document(zlib.decompress(msg.packed))
        except DocumentError as exc:
            # It was validated by an instance of another release.
            log.event("document_unreadable", level="ERROR", reason=exc)
            return
        self._hub.set_services(frozenset(table.services))
        self._quotas.dealer.set_accounts(self.clock.now(), table.accounts or ())
        caps = (rules.connection_cap for rules in table.services.values())
        self._hub.set_least_cap(min(caps, default=None))

    def _update_members(self) -> None:
        """Connects to all members and passes their addresses to the hub.

        An instance outside the group also connects to all instances that may
        know of a group, to forward operators' calls to its leader.
        """
        state = self._decider.state
        outside = self._decider.is_joining
        if state.members is self._linked_members and not outside:
            return
        self._linked_members = None if outside else state.members
        self._contacts = self._decider.contacts()
        self._links.set_addresses({*self.cfg.seeds, *self._contacts.values()})
        addresses = {m.address for m in state.members.values()}
        names = {m.instance for m in state.members.values()}
        self._operations.set_targets(names.union(self._contacts))
        self._hub.set_peers(tuple(sorted(addresses)), frozenset(names))
        self._hub.set_outside_group(not state.group)
        # One that asks to join may have been removed and replaced.
        self._quotas.dealer.set_members(
            self.clock.now(), () if outside else names, self.cfg.instance
        )

    def _gauges(self) -> dict[str, float]:
        return {
            **self._hub.gauges(),
            **self._state_log.gauges(),
            **self._quotas.dealer.gauges(),
            "links": len(self._links.open_links),
            "link_bytes_sent_total": self._links.sent_bytes,
            "bad_calls_total": self.calls.bad_calls.total,
            "member_open": float(self._decider is not None),
            "tick_failures_total": self._ticker.failures,
            "task_failures_total": background.failures(),
            "log_lines_lost_total": log.dropped_lines(),
        }

    def _restart_member(self) -> None:
        """Restarts the member once the disk works.

        After a failed write or step the content of the disk is unknown. A
        silent member would reduce the losses that the group tolerates by one.
        """
        if self._recovery.is_running:
            return
        log.event("member_restarts", level="ERROR")
        self._decider = self._operators.decider = None
        self._recovery.start()
