"""Assembles the deciders, the shell and the hooks of one process."""

from __future__ import annotations

import random
import re
import threading
import time
from typing import TYPE_CHECKING, Any

from greengagemoor import events, log
from greengagemoor.control import messages as control
from greengagemoor.control.client import Done
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.state import Timing as ControlTiming
from greengagemoor.events import EventListeners
from greengagemoor.membership import messages as membership
from greengagemoor.membership.decider import MembershipDecider
from greengagemoor.membership.rows import InstanceRow, InstanceState, hash64
from greengagemoor.membership.state import Timing as MembershipTiming
from greengagemoor.metrics import Metrics
from greengagemoor.node import Node, RejectNewRequests, StartUp
from greengagemoor.query import messages as query
from greengagemoor.query.decider import QueryDecider
from greengagemoor.shell import event_log, routes, status
from greengagemoor.shell.attempt_dispatch import AttemptDispatcher
from greengagemoor.shell.clock import Clock
from greengagemoor.shell.disk import DiskWriter
from greengagemoor.shell.http_server import HttpServer
from greengagemoor.shell.peers import PeerTransport
from greengagemoor.shell.replies import PendingReplies
from greengagemoor.shell.tick_loop import TickLoop
from greengagemoor.storage.folder import DataFolder
from greengagemoor.storage.store import Store

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.config import Settings
    from greengagemoor.control.status import ControlStatus

IDLE_POLL_S = 0.02
OVERLOAD_HOLD_S = 3.0
"""Seconds for which an entry reports overload after its last refusal."""
MAX_DRAIN_S = 600.0
"""Seconds for which a shutdown waits for running requests at most."""


class Application:
    """One process: an entry, a control instance, or both.

    Embedders extend it before ``start``: ``add_route`` adds HTTP paths,
    ``add_listener`` listeners of events, ``add_handler`` handlers for messages
    of the deciders.
    """

    def __init__(self, cfg: Settings):
        """Builds all parts; opens no sockets and recovers no state yet."""
        self.cfg = cfg
        self.clock = Clock()
        self.metrics = Metrics()
        self.events = EventListeners()
        self.routes = list(routes.ROUTES)
        self.request_slots = threading.Semaphore(cfg.waiting_requests)
        self._replies = PendingReplies()
        self._store: Store | None = None
        self._member_id = ""
        if cfg.is_control:
            folder = DataFolder(cfg.data_folder, cfg.instance)
            self._store = Store(folder)
            self._member_id = f"{cfg.instance}#{folder.format.identity}"
        self.node = self._make_node()
        self._loop = TickLoop(self.node, self.clock, self.events)
        self._peers = PeerTransport(
            cfg.instance, cfg.peer_address, self._loop.put
        )
        me = self.node.membership.state.me
        self._dispatcher = AttemptDispatcher(
            f"{me.name}.{me.incarnation}",
            cfg.attempt_threads,
            self.clock,
            self._loop.put,
        )
        self._disk = (
            DiskWriter(self._store, self._loop.put) if self._store else None
        )
        self._http = HttpServer(cfg, self)
        self._overload_until: float | None = None
        self._overload_lock = threading.Lock()
        self._connect()

    def add_route(self, method: str, pattern: str, handler: Callable) -> None:
        """Adds an HTTP path; ``handler`` receives a ``routes.HttpRequest``."""
        self.routes.append(routes.Route(method, re.compile(pattern), handler))

    def add_listener(self, name: str, listener: Callable[[Any], None]) -> None:
        """Adds a listener to an event of ``greengagemoor.events``."""
        self.events.connect(name, listener)

    def add_handler(self, kind: type, handler: Callable[[Any], None]) -> None:
        """Sets the handler for a type of message that the node emits."""
        self._loop.add_handler(kind, handler)

    def _make_node(self) -> Node:
        cfg = self.cfg
        rng = random.Random(cfg.seed or hash64(cfg.instance))
        group = {p.instance: p.address for p in cfg.control_group}
        seeds = {p.instance: p.address for p in cfg.seeds} | group
        return Node(
            MembershipDecider(
                self._make_own_row(), seeds, rng, self._membership_timing()
            ),
            rng,
            query_decider=(
                QueryDecider(cfg.data_centre, rng) if cfg.is_entry else None
            ),
            control_decider=self._make_control(group, rng),
            control_targets=group or ([cfg.instance] if cfg.is_control else ()),
        )

    def _make_own_row(self) -> InstanceRow:
        cfg = self.cfg
        return InstanceRow(
            name=cfg.instance,
            incarnation=int(time.time() * 1000),
            sequence=0,
            state=InstanceState.STARTING,
            peer_address=cfg.peer_address,
            http_address=cfg.http_address,
            data_centre=cfg.data_centre,
            region=cfg.region,
            roles=cfg.roles,
        )

    def _membership_timing(self) -> MembershipTiming:
        return MembershipTiming(
            interval=self.cfg.gossip_interval_s,
            addresses_valid=self.cfg.addresses_valid_s,
        )

    def _make_control(
        self, group: dict[str, str], rng: random.Random
    ) -> ControlDecider | None:
        cfg = self.cfg
        if not cfg.is_control:
            return None
        others = {k: v for k, v in group.items() if k != cfg.instance}
        is_listed = len(others) < len(group) or not group
        return ControlDecider(
            self._member_id,
            cfg.peer_address,
            others,
            random.Random(rng.getrandbits(64)),
            ControlTiming(heartbeat=cfg.heartbeat_s, election=cfg.election_s),
            founders=others if cfg.new_group and is_listed else None,
        )

    def _connect(self) -> None:
        set_reply = self._replies.resolve
        add = self._loop.add_handler
        add(query.Reply, self._handle_reply)
        add(membership.AnnounceReply, lambda m: set_reply(m.token, m))
        add(membership.Addresses, lambda m: set_reply(m.token, m))
        add(Done, lambda m: set_reply(m.token, m))
        add(query.StartAttempt, self._dispatcher.start_attempt)
        add(query.CancelAttempt, self._dispatcher.cancel_attempt)
        add(control.Send, self._peers.send)
        if self._disk is not None:
            add(control.Persist, self._disk.write)
        event_log.add_log_handlers(add, self.events)

    def _handle_reply(self, reply: query.Reply) -> None:
        self.metrics.record_reply(reply)
        self._replies.resolve(reply.token, reply)
        log.event(
            "answer",
            level="DEBUG",
            request_id=reply.answer.request_id,
            caller=reply.caller,
            request_class=reply.request_class,
            code=int(reply.answer.code),
            elapsed_s=reply.elapsed_s,
            attempts=reply.answer.attempts,
        )
        self.events.emit(events.ANSWERED, reply)

    def start(self) -> None:
        """Recovers durable state, then listens."""
        recovered = self._store.recover() if self._store else None
        if self._disk is not None:
            self._disk.start()
        self._peers.start()
        self._loop.put(StartUp())
        if recovered is not None:
            self._loop.put(recovered)
        # Listen before the first message to other instances: once they
        # consider this one live, it must not refuse callers' connections.
        self._http.start()
        self._loop.start()
        log.event(
            "started",
            instance=self.cfg.instance,
            http=self.cfg.http_address,
            peers=self.cfg.peer_address,
            member=self._member_id,
        )

    def shut_down(self) -> None:
        """Shuts down without interrupting requests in flight.

        First withdraws this entry's address and serves for as long as callers
        may cache it; then rejects new requests and finishes the running ones.
        """
        log.event("leaving", instance=self.cfg.instance)
        self._loop.put(membership.Leave())
        if self.cfg.is_entry:
            time.sleep(self.cfg.addresses_valid_s + self.cfg.leave_margin_s)
            self._loop.put(RejectNewRequests())
            self._wait_until_idle()
        self._loop.put(membership.Stop())
        time.sleep(IDLE_POLL_S)
        self._http.stop()
        self._dispatcher.stop()
        self._loop.stop()
        self._peers.stop()
        if self._disk is not None:
            self._disk.stop()
        log.event("stopped", instance=self.cfg.instance)

    def _wait_until_idle(self) -> None:
        """Waits until no request is running and all outcomes are recorded."""
        until = self.clock.now() + MAX_DRAIN_S
        time.sleep(IDLE_POLL_S)
        while not self.node.is_idle and self.clock.now() < until:
            time.sleep(IDLE_POLL_S)

    def ask(self, make: Callable[[int], object], wait_s: float) -> Any | None:
        """Sends a message with a new token to the deciders; awaits the answer.

        Args:
            make: builds the message from the token.
            wait_s: maximum wait for the answer, in seconds.

        Returns:
            The answer, or None if it did not arrive in time.
        """
        token, fut = self._replies.register()
        self._loop.put(make(token))
        return self._replies.wait(token, fut, wait_s)

    def record_gate_refusal(self) -> None:
        """Counts a request without a slot and reports this entry as overloaded.

        Callers are then given other entries.
        """
        self.metrics.count("gate_refusals")
        with self._overload_lock:
            first = self._overload_until is None
            self._overload_until = self.clock.now() + OVERLOAD_HOLD_S
        if first:
            self._loop.put(membership.OverloadChanged(active=True))
            threading.Thread(target=self._clear_overload, daemon=True).start()

    def _clear_overload(self) -> None:
        """Ends the overload ``OVERLOAD_HOLD_S`` after the last refusal."""
        while True:
            with self._overload_lock:
                left = self._overload_until - self.clock.now()
                if left <= 0:
                    self._overload_until = None
                    break
            time.sleep(left)
        self._loop.put(membership.OverloadChanged(active=False))

    def control_status(self) -> ControlStatus | None:
        """Returns the status of the control role, or None without that role."""
        return self.node.control.status() if self.node.control else None

    def status(self) -> dict[str, Any]:
        """Returns the content of ``/v1/status``."""
        return status.build_status(self.node, self.clock.now())

    def gauges(self) -> dict[str, float]:
        """Returns the current values of the gauges for ``/metrics``."""
        gauges = status.gauges(self.node) | {
            "tick_failures_total": self._loop.failures,
            "peer_bytes_sent_total": self._peers.sent_bytes,
            "peer_batches_sent_total": self._peers.sent_batches,
        }
        if self._disk is not None:
            gauges["disk_syncs_total"] = self._disk.syncs
        return gauges
