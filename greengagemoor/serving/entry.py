"""An entry on the event loop: serves callers and queries searchers."""

from __future__ import annotations

import asyncio
import zlib
from itertools import count
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.aio import background
from greengagemoor.aio.links import Links
from greengagemoor.aio.pool import Pool
from greengagemoor.aio.requests import Limits
from greengagemoor.aio.server import (
    IDLE_CHECK_INTERVAL_S,
    HttpServer,
    drain,
)
from greengagemoor.control.messages import Send
from greengagemoor.errors import DocumentError
from greengagemoor.feed import messages as feed
from greengagemoor.forward import part_messages as parts
from greengagemoor.forward.messages import (
    AnswerWritten,
    Arrived,
    CallerGone,
    CancelAttempt,
    CloseIdle,
    ProbeSearcher,
    Respond,
    ShutdownStarted,
    StartAttempt,
)
from greengagemoor.routing import routes
from greengagemoor.serving import event_log
from greengagemoor.serving.attempts import Attempts
from greengagemoor.serving.entry_setup import make_decider
from greengagemoor.serving.health import Health
from greengagemoor.serving.metrics import ServingMetrics
from greengagemoor.serving.peers import Peers
from greengagemoor.serving.request_identity import request_fingerprint
from greengagemoor.serving.request_log import RequestLog
from greengagemoor.serving.ticker import Ticker
from greengagemoor.shell.clock import Clock

if TYPE_CHECKING:
    import socket

    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.serving.dialect import Dialect, Reply
    from greengagemoor.serving.settings import ServingSettings

SWEEP_INTERVAL_S = 1.0
KEEP_SERVING_SHARE = 0.6
"""Share of the grace time in which a leaving entry still accepts requests."""
ANSWER_MARGIN_S = 0.1
"""Time between the last answers and the end of the grace time, at most a tenth
of it. The answers must reach their callers before the process is killed."""


class EntryApp:
    """Connects the parts of one entry."""

    def __init__(
        self,
        cfg: ServingSettings,
        dialect: Dialect,
        listener: socket.socket | None = None,
    ):
        """Does not listen yet; ``start`` does.

        Args:
            cfg: settings.
            dialect: formats of callers and searchers.
            listener: a socket that already listens on the callers' address.
        """
        self.cfg = cfg
        self._listener = listener
        self.clock = Clock()
        self._dialect = dialect
        self._decider = make_decider(cfg)
        self._view = self._decider.view
        self._forward = self._decider.forward
        self._forward.tables.link_bytes_per_s = cfg.link_bytes_per_s
        self._route_table: routes.RouteTable | None = None
        self._ticker = Ticker(self.clock, self._tick)
        self._links = Links(cfg.instance, "", self._ticker.put)
        self._pool = Pool()
        self._limits = Limits()
        self._callers = HttpServer(cfg.caller_address, self, self._limits)
        self._dialled_peers: tuple[str, ...] = ()
        self._tokens = count(1)
        self._requests: dict[int, HttpRequest] = {}
        self._attempts = Attempts(
            self._pool, dialect, self.clock, self._ticker.put, self._requests
        )
        self._peers = Peers(
            cfg.instance, cfg.peer_address, self._ticker.put, self._requests
        )
        self._request_log = RequestLog()
        self._standing_log = event_log.StandingLog()
        self._metrics = ServingMetrics(self._gauges)
        health = Health(self, dialect)
        self._servers = [HttpServer(cfg.health_address, health, Limits())]
        if cfg.metrics_address:
            metrics = HttpServer(cfg.metrics_address, self._metrics, Limits())
            self._servers.append(metrics)

    @property
    def ready(self) -> bool:
        """Whether callers may be directed to this entry."""
        return self._view.me.ready

    async def start(self) -> None:
        """Starts the listeners and connects to the seeds."""
        await self._links.start()
        await self._peers.start()
        self._update_links()
        for server in self._servers:
            await server.start()
        await self._callers.start(self._listener)
        self._ticker.tick()
        for name, callback in (
            ("close_expired", self._pool.close_expired),
            ("update_histograms", self._metrics.update_histograms),
        ):
            background.run_periodically(name, SWEEP_INTERVAL_S, callback)

    def reload(self, cfg: ServingSettings) -> None:
        """Applies changed settings and connects to their seeds."""
        self.cfg = cfg
        self._view.capacity = cfg.entry_capacity
        self._update_links()
        self._ticker.tick()

    def _update_links(self) -> None:
        self._dialled_peers = self._view.peers
        self._links.set_addresses({*self.cfg.seeds, *self._view.peers})

    async def stop(self) -> None:
        """Stops without aborting a request.

        Withdraws its address from callers at once, serves on while they may
        still use it, then accepts no connections and finishes open requests.
        Those that are still open shortly before the end of the grace time are
        answered then.
        """
        grace_s = self.cfg.grace_s
        answers_s = grace_s - min(ANSWER_MARGIN_S, grace_s / 10)
        self._view.leave()
        self._limits.closing = True
        self._ticker.put(ShutdownStarted(self.clock.now() + answers_s))
        self._ticker.tick()
        await asyncio.sleep(KEEP_SERVING_SHARE * grace_s)
        self._callers.stop_accepting()
        await drain(
            [self._callers],
            (1 - KEEP_SERVING_SHARE) * grace_s - IDLE_CHECK_INTERVAL_S,
            lambda: self._forward.is_idle,
        )
        number = self._callers.count_busy()
        if number:
            log.event("requests_aborted", level="ERROR", number=number)

    # Callers.

    def handle_request(self, req: HttpRequest) -> None:
        """Handles a caller's request."""
        if self._route_table is None or not self._view.is_confirmed:
            self._reply(req, self._dialect.write_no_document())
            return
        info = self._dialect.read_request(req)
        route = self._route_table.find(info.host, req.path)
        if route is None:
            event_log.log_no_route(info, req.path, self._route_table.version)
            self._reply(req, self._dialect.write_no_route())
            return
        account = None
        if self._route_table.accounts is not None:
            account = self._route_table.account_for(info.key)
            self._dialect.set_account(req, account)
            if account is None and not route.public:
                event_log.log_unauthenticated(
                    info, route.name, self._route_table.version
                )
                self._reply(req, self._dialect.write_unauthenticated())
                return
        req.token = next(self._tokens)
        self._requests[req.token] = req
        self._ticker.put(
            Arrived(
                req.token,
                info.request_id,
                route,
                info.remaining_wait_s,
                request_fingerprint(req, info, account),
                req.network_s,
                account,
            )
        )

    def handle_disconnect(self, req: HttpRequest) -> None:
        """Discards a request whose connection closed."""
        if self._requests.pop(req.token, None) is not None:
            self._ticker.put(CallerGone(req.token))

    def _reply(self, req: HttpRequest, reply: Reply) -> None:
        req.conn.reply(req, reply.status, reply.headers, reply.body)

    # Ticks.

    def _tick(self, now: float, msgs: list) -> float | None:
        for msg in self._decider.step(now, msgs):
            self._ticker.isolate(self._act, msg)
        if self._view.peers is not self._dialled_peers:
            self._update_links()
        return self._decider.next_wake()

    def _apply_document(self, msg: feed.DocumentUpdated) -> None:
        try:
            table = self._dialect.read_document(zlib.decompress(msg.packed))
        except DocumentError as exc:
            # Documents are validated before they are accepted; this one was
            # validated by an instance of another release.
            log.event("document_unreadable", level="ERROR", reason=exc)
            return
        self._route_table = table
        limits = table.limits
        self._limits.header_bytes = limits.header_bytes
        self._limits.body_bytes = limits.body_bytes
        self._limits.header_timeout_s = limits.header_timeout_s
        self._limits.idle_timeout_s = limits.idle_timeout_s
        self._decider.set_routes(table)
        log.event("document", version=table.version, routes=len(table.routes))

    def _act(self, msg: object) -> None:
        if isinstance(msg, StartAttempt):
            self._attempts.start(msg)
        elif isinstance(msg, CancelAttempt):
            self._attempts.cancel(msg)
        elif isinstance(msg, Respond):
            self._respond(msg)
        elif isinstance(msg, Send):
            self._links.send(msg)
        elif isinstance(msg, parts.ToPeer):
            self._peers.send(msg)
        elif isinstance(msg, parts.PartOpened):
            self._peers.open(msg)
        elif isinstance(msg, parts.PartClosed):
            self._peers.close(self.clock.now(), msg)
        elif isinstance(msg, feed.HelpersUpdated):
            self._peers.set_addresses(msg.helpers)
        elif isinstance(msg, CloseIdle):
            self._pool.close_idle_to(msg.address)
        elif isinstance(msg, ProbeSearcher):
            self._attempts.probe(msg)
        elif isinstance(msg, feed.DocumentUpdated):
            self._apply_document(msg)
        elif isinstance(msg, feed.StandingChanged):
            self._standing_log.note(self.clock.now(), msg.row)
        else:
            event_log.log_change(msg, self._view.number)

    def _respond(self, msg: Respond) -> None:
        req = self._requests.pop(msg.token, None)
        if req is not None:
            self._write_answer(req, msg)
        if msg.merged is not None:
            self._ticker.put(AnswerWritten(self.clock.now() - msg.due_at))
        self._metrics.note(msg)
        self._request_log.note(self.clock.now(), msg, self._view.number)

    def _write_answer(self, req: HttpRequest, msg: Respond) -> None:
        try:
            self._reply(req, self._dialect.write_answer(msg))
        except Exception:
            # Its caller would wait for as long as the connection is open.
            req.conn.close()
            raise

    def _gauges(self) -> dict[str, float]:
        return {
            **self._decider.gauges(),
            "document_version": self._view.number,
            "ready": float(self.ready),
            "entries_known": self._view.entries,
            "links": len(self._links.open_links),
            "link_bytes_sent_total": self._links.sent_bytes,
            "peer_bytes_sent_total": self._peers.sent_bytes,
            **self._attempts.gauges(),
            "caller_connections": len(self._callers.conns),
            "tick_failures_total": self._ticker.failures,
            "task_failures_total": background.failures(),
            "log_lines_lost_total": log.dropped_lines(),
        }
