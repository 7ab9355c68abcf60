"""Entry side of the feed: merges the messages of the control instances."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code
from greengagemoor.control.evacuations import EvacuationView
from greengagemoor.control.messages import OpReply, Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed import suspect_distribution
from greengagemoor.feed.document_reads import DocumentReadSchedule
from greengagemoor.feed.peer_rows import newer
from greengagemoor.feed.suspects import SuspectTable
from greengagemoor.util import difference

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.control.evacuations import Evacuation

FETCH_RETRY_S = 0.5
REPORT_EVERY_S = 0.1
HELPERS_INTERVAL_S = 3.0
BASE_COMPRESSION_LEVEL = 1
"""Compression level of the document kept as the base of differences."""
PLACE_RETENTION_S = 600.0
"""How long a place among more entries takes precedence. A control instance that
has restarted knows few entries at first, and ranks among these would coincide
with those of other entries."""
SETTLE_S = 0.4
"""How long a starting entry waits for silent control instances once the
document is confirmed."""


@attrs.define(eq=False, repr=False)
class _Source:
    whole: bool = False
    document: int = 0
    peers: tuple[str, ...] = ()
    place: m.EntryPlace | None = None


@attrs.define(eq=False, repr=False)
class _Fetch:
    source: str
    retry_at: float


class FeedView:
    """Searchers and document as known to this entry.

    The row of a searcher with the latest start and, of those, the highest
    sequence takes precedence, whichever control instance sent it. An
    incarnation that is gone stays gone: a ready row of it that arrives later
    was delayed.

    Attributes:
        me: subscription of this entry, as sent to control instances.
        number: number of the newest document received; 0 if there is none.
        entries: highest number of entries reported by a control instance, at
            least 1.
        place: place of this entry among the entries; None if not known.
        peers: peer addresses of the control instances.
        leaving: whether this entry is no longer listed to callers.
        capacity: as in ``Subscribe``; sent again when it changes.
    """

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        suspects: SuspectTable | None = None,
        peer_address: str = "",
        capacity: float = 0.0,
    ):
        """Creates a view without searchers and document.

        Args:
            name: name of this instance.
            address: its address for callers.
            data_centre: its data centre.
            suspects: suspect requests known to this entry; only read here.
            peer_address: its address for other entries; '' if they may not
                connect.
            capacity: as in ``Subscribe``.
        """
        self._suspects = SuspectTable() if suspects is None else suspects
        self.capacity = capacity
        self.me = m.Subscribe(
            name, address, data_centre, False, peer_address, capacity
        )
        self.number = 0
        self._packed = b""
        self._needs_whole = False
        self._evacuations = EvacuationView()
        self._reads = DocumentReadSchedule()
        self.entries = 1
        self.place: m.EntryPlace | None = None
        self._place_at = float("-inf")
        self.peers: tuple[str, ...] = ()
        self.leaving = False
        self._confirmed_number = 0
        self._confirmed_at: float | None = None
        self._sources: dict[str, _Source] = {}
        self._rows: dict[str, m.SearcherRow] = {}
        self._fetch: _Fetch | None = None
        self._helpers: tuple[m.Helper, ...] = ()
        self._helpers_at = 0.0
        self._slow_seen: set[m.SearcherKey] = set()
        self._report_at = 0.0
        self._now = 0.0
        self._out: list = []

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds of a monotonic clock.
            msgs: ``LinkUp``, ``LinkDown``, ``Received``, ``SlowSendObserved``,
                ``SuspectsObserved``.

        Returns:
            ``Send``, ``SearcherUpdated``, ``SlowSearchers``,
            ``SuspectsReceived``, ``EvacuationsUpdated``, ``HelpersUpdated``,
            ``DocumentUpdated``, ``DifferenceRejected``, ``ReadyChanged``.
        """
        self._now = now
        self._out = []
        for msg in msgs:
            self._handle(msg)
        self._update_place()
        self._report_slow_searchers()
        self._fetch_document()
        self._confirm_document()
        self._update_ready()
        self._request_helpers()
        return self._out

    def next_wake(self) -> float:
        """Returns when the next tick is due if no message arrives."""
        times = [self._now + SETTLE_S]
        if self._fetch is not None:
            times.append(self._fetch.retry_at)
        if self._confirmed_at is None:
            times.append(self._reads.at)
        return min(times)

    @property
    def is_confirmed(self) -> bool:
        """Whether a quorum has confirmed the document since this start."""
        return self._confirmed_at is not None and (
            0 < self.number >= self._confirmed_number
        )

    @property
    def sources(self) -> tuple[str, ...]:
        """Control instances with a link."""
        return tuple(self._sources)

    def leave(self) -> None:
        """Stops this entry from being listed to callers."""
        self.leaving = True

    def _handle(self, msg: object) -> None:
        if isinstance(msg, m.LinkUp):
            self._sources[msg.name] = _Source()
            self._out.append(Send(msg.name, self.me))
            # The control instance may have lost its disk.
            self._out += suspect_distribution.rows_message(
                self._suspects, msg.name
            )
        elif isinstance(msg, m.LinkDown):
            self._sources.pop(msg.name, None)
        elif isinstance(msg, m.SlowSendObserved):
            self._slow_seen.add(msg.searcher)
        elif isinstance(msg, m.SuspectsObserved):
            # All control instances forward the rows, so one reachable instance
            # is sufficient.
            message = m.SuspectRows(msg.rows)
            self._out += [Send(name, message) for name in self._sources]
        elif isinstance(msg, Received):
            self._handle_payload(msg.sender, msg.payload)

    def _handle_payload(self, sender: str, payload: object) -> None:
        source = self._sources.setdefault(sender, _Source())
        if isinstance(payload, m.SearcherRows):
            source.whole = source.whole or payload.whole
            for row in payload.rows:
                self._merge_row(row)
            self._out.append(Send(sender, m.RowsTaken(payload.number)))
        elif isinstance(payload, m.DocumentNumber):
            source.document = max(source.document, payload.number)
            self._reads.expedite(self._now)
        elif isinstance(payload, m.NumberedDocument):
            self._handle_document(sender, payload)
        elif isinstance(payload, m.SlowSearchers):
            self._out.append(payload)
        elif isinstance(payload, m.SuspectRows):
            self._out.append(m.SuspectsReceived(payload.rows))
        elif isinstance(payload, m.Evacuations):
            self._merge_evacuations(payload.rows)
        elif isinstance(payload, m.Helpers):
            self._update_helpers(payload.helpers)
        elif isinstance(payload, m.KnownPeers):
            source.peers = payload.addresses
            self._update_peers()
            self.entries = max(self.entries, payload.entries)
        elif isinstance(payload, m.EntryPlace):
            source.place = payload
        elif isinstance(payload, OpReply):
            self._handle_read_reply(payload)

    def _merge_evacuations(self, rows: tuple[Evacuation, ...]) -> None:
        changed = self._evacuations.merge(rows)
        if changed:
            self._out.append(m.EvacuationsUpdated(changed))

    def _update_helpers(self, helpers: tuple[m.Helper, ...]) -> None:
        if helpers != self._helpers:
            self._helpers = helpers
            self._out.append(m.HelpersUpdated(helpers))

    def _update_peers(self) -> None:
        """Keeps the union of the lists of all linked control instances.

        A partitioned one may have an outdated list, so no single list is
        authoritative. If no linked instance names any, the last list is kept:
        after a power loss of all control instances, the entry connects to
        their previous addresses.
        """
        lists = [source.peers for source in self._sources.values()]
        addresses = sorted({address for peers in lists for address in peers})
        self.peers = tuple(addresses) or self.peers

    def _update_place(self) -> None:
        """Uses the place among the most entries; see ``PLACE_RETENTION_S``.

        Of several such places, all entries use the one of the first control
        instance by name.
        """
        places = [
            source.place
            for _, source in sorted(self._sources.items())
            if source.place is not None
        ]
        if not places:
            return
        best = max(places, key=lambda place: place.entries)
        if self.place is None or best.entries >= self.place.entries:
            self._place_at = self._now
        elif self._now < self._place_at + PLACE_RETENTION_S:
            return
        self.place = best
        self.entries = max(self.entries, best.entries)

    def _merge_row(self, row: m.SearcherRow) -> None:
        known = self._rows.get(row.searcher_id)
        if row is known:
            return
        if known is not None:
            row = newer(known, row)
            if row == known:
                return
        self._rows[row.searcher_id] = row
        self._out.append(m.SearcherUpdated(row))

    def _store_document(self, number: int, packed: bytes) -> None:
        if number > self.number and packed:
            self.number = number
            self._packed = packed
            self._needs_whole = False
            self._out.append(m.DocumentUpdated(number, packed))
        if self._fetch is not None and number >= self.number:
            self._fetch = None

    def _handle_document(self, sender: str, msg: m.NumberedDocument) -> None:
        packed = msg.packed
        if msg.base and msg.number > self.number:
            try:
                packed = self._unpack_against(msg)
            except ValueError as exc:
                # The difference applies to the document at the time of the
                # request, which may have been replaced since.
                rejection = m.DifferenceRejected(sender, msg.number, str(exc))
                self._out.append(rejection)
                self._needs_whole = True
                self._fetch = None
                return
        self._store_document(msg.number, packed)

    def _unpack_against(self, msg: m.NumberedDocument) -> bytes:
        if msg.base != self.number:
            raise ValueError("difference packed against another base document")
        text = difference.unpack(zlib.decompress(self._packed), msg.packed)
        return zlib.compress(text, BASE_COMPRESSION_LEVEL)

    def _handle_read_reply(self, reply: OpReply) -> None:
        if reply.code == Code.NOT_LEADER:
            self._reads.note_leader(self._now, reply.leader)
            return
        if reply.code != Code.CURRENT:
            return
        self._store_document(reply.version, reply.packed)
        # A starting entry needs these too before it serves.
        self._merge_evacuations(reply.evacuations)
        if self._confirmed_at is None:
            self._confirmed_at = self._now
            self._confirmed_number = reply.version

    def _fetch_document(self) -> None:
        """Requests a newer document from one control instance that has it."""
        holders = [
            name
            for name, source in self._sources.items()
            if source.document > self.number
        ]
        if not holders:
            self._fetch = None
            return
        if self._fetch is not None and self._now < self._fetch.retry_at:
            return
        previous = self._fetch.source if self._fetch is not None else ""
        others = [name for name in holders if name != previous]
        source = (others or holders)[0]
        self._fetch = _Fetch(source, self._now + FETCH_RETRY_S)
        known = 0 if self._needs_whole else self.number
        self._out.append(Send(source, m.WantNumbered(known)))

    def _report_slow_searchers(self) -> None:
        """Reports slow searchers, all to one control instance.

        All reports about a searcher must reach the same control instance; the
        first by name is the one that all entries are likely to select.
        """
        if not self._slow_seen or self._now < self._report_at:
            return
        self._report_at = self._now + REPORT_EVERY_S
        if self._sources:
            searchers = sorted(self._slow_seen, key=lambda key: key.searcher_id)
            report = m.SlowReport(tuple(searchers))
            self._out.append(Send(min(self._sources), report))
        self._slow_seen.clear()

    def _confirm_document(self) -> None:
        """Asks until a quorum has confirmed which document is current.

        The request names the newest document that any control instance has,
        as it is being fetched from one of them already. Otherwise, after a
        power loss, the leader would send each entry the whole document a second
        time.
        """
        if self._confirmed_at is not None or not self._reads.is_due(self._now):
            return
        announced = max((s.document for s in self._sources.values()), default=0)
        known = max(self.number, announced)
        self._out += self._reads.ask(self._now, list(self._sources), known)

    def _update_ready(self) -> None:
        ready = not self.leaving and self._can_serve()
        before = self.me
        if (ready, self.capacity) == (before.ready, before.capacity):
            return
        self.me = attrs.evolve(before, ready=ready, capacity=self.capacity)
        if ready != before.ready:
            self._out.append(m.ReadyChanged(ready))
        for name in self._sources:
            self._out.append(Send(name, self.me))

    def _request_helpers(self) -> None:
        """Periodically requests the entries to share queries with.

        One control instance is asked, selected by entry name and time so that
        the load is spread over all.
        """
        if not self.me.ready or self._now < self._helpers_at:
            return
        names = sorted(self._sources)
        if names and self.me.peer_address:
            self._helpers_at = self._now + HELPERS_INTERVAL_S
            offset = zlib.crc32(self.me.name.encode()) + int(self._now)
            asked = names[offset % len(names)]
            self._out.append(Send(asked, m.WantHelpers()))

    def _can_serve(self) -> bool:
        if self.me.ready:
            return True
        if not self.is_confirmed:
            return False
        known = len(self.peers)
        reported = sum(source.whole for source in self._sources.values())
        waited = self._now - self._confirmed_at
        return bool(reported) and (reported >= known or waited >= SETTLE_S)
