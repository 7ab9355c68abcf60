"""Entry side of the feed: merges what the control instances say."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code
from greengagemoor.control.evacuations import EvacuationView
from greengagemoor.control.messages import OpReply, Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed import spread
from greengagemoor.feed.reads import Reads
from greengagemoor.feed.rows import newer
from greengagemoor.feed.suspects import SuspectTable
from greengagemoor.util import difference

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.control.evacuations import Evacuation

FETCH_AGAIN_S = 0.5
REPORT_EVERY_S = 0.1
HELPERS_EVERY_S = 3.0
KEPT_LEVEL = 1
"""Compression of the document that is kept for the next difference."""
SETTLE_S = 0.4
"""How long a starting entry waits for control instances that don't answer,
after one has confirmed the document."""


@attrs.define(eq=False, repr=False)
class _Source:
    whole: bool = False
    document: int = 0
    peers: tuple[str, ...] = ()


@attrs.define(eq=False, repr=False)
class _Fetch:
    source: str
    again_at: float


class View:
    """Searchers and document as this entry knows them.

    A searcher's row with the highest sequence wins, whoever told it. An ended
    start stays ended: a row that says ready with a lower sequence was held up
    on its way.
    """

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        suspects: SuspectTable | None = None,
        peer_address: str = "",
    ):
        """Starts knowing nothing.

        Args:
            name: this instance.
            address: where callers reach it.
            data_centre: where it stands.
            suspects: what this entry knows of requests under which searchers
                have ended; it is only read here.
            peer_address: where other entries reach it, '' if none may.
        """
        self._suspects = SuspectTable() if suspects is None else suspects
        self.me = m.Subscribe(
            name, address, data_centre, ready=False, peer_address=peer_address
        )
        self.number = 0
        self._packed = b""
        self._wants_whole = False
        self._evacuations = EvacuationView()
        self._reads = Reads()
        self.entries = 1
        self.peers: tuple[str, ...] = ()
        self.leaving = False
        self._confirmed = 0
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
            now: seconds of a clock that doesn't go back.
            msgs: ``LinkUp``, ``LinkDown``, ``Received``, ``SlowSeen``,
                ``SuspectsSeen``.

        Returns:
            ``Send``, ``SearcherLearnt``, ``SlowSearchers``, ``SuspectsLearnt``,
            ``EvacuationsLearnt``, ``HelpersLearnt``, ``DocumentLearnt``,
            ``DifferenceRefused``,
            ``ReadyChanged``.
        """
        self._now = now
        self._out = []
        for msg in msgs:
            self._take(msg)
        self._drive_report()
        self._drive_fetch()
        self._drive_read()
        self._drive_ready()
        self._drive_helpers()
        return self._out

    def next_wake(self) -> float:
        """Returns when a tick is due although no message came."""
        times = [self._now + SETTLE_S]
        if self._fetch is not None:
            times.append(self._fetch.again_at)
        if self._confirmed_at is None:
            times.append(self._reads.at)
        return min(times)

    @property
    def is_confirmed(self) -> bool:
        """Whether a quorum has confirmed the document since the start."""
        return self._confirmed_at is not None and (
            0 < self.number >= self._confirmed
        )

    @property
    def sources(self) -> tuple[str, ...]:
        """Control instances with a link."""
        return tuple(self._sources)

    def leave(self) -> None:
        """Takes this entry out of what callers are given."""
        self.leaving = True

    def _take(self, msg: object) -> None:
        if isinstance(msg, m.LinkUp):
            self._sources[msg.name] = _Source()
            self._out.append(Send(msg.name, self.me))
            # It may have lost all it knew.
            self._out += spread.tell(self._suspects, msg.name)
        elif isinstance(msg, m.LinkDown):
            self._sources.pop(msg.name, None)
        elif isinstance(msg, m.SlowSeen):
            self._slow_seen.add(msg.searcher)
        elif isinstance(msg, m.SuspectsSeen):
            # To all, and each tells on: whichever is cut off, it gets through.
            told = m.SuspectRows(msg.rows)
            self._out += [Send(name, told) for name in self._sources]
        elif isinstance(msg, Received):
            self._take_payload(msg.sender, msg.payload)

    def _take_payload(self, sender: str, payload: object) -> None:
        source = self._sources.setdefault(sender, _Source())
        if isinstance(payload, m.SearcherRows):
            source.whole = source.whole or payload.whole
            for row in payload.rows:
                self._merge(row)
            self._out.append(Send(sender, m.RowsTaken(payload.number)))
        elif isinstance(payload, m.DocumentNumber):
            source.document = max(source.document, payload.number)
            self._reads.hurry(self._now)
        elif isinstance(payload, m.NumberedDocument):
            self._take_numbered(sender, payload)
        elif isinstance(payload, m.SlowSearchers):
            self._out.append(payload)
        elif isinstance(payload, m.SuspectRows):
            self._out.append(m.SuspectsLearnt(payload.rows))
        elif isinstance(payload, m.Evacuations):
            self._take_evacuations(payload.rows)
        elif isinstance(payload, m.Helpers):
            self._take_helpers(payload.helpers)
        elif isinstance(payload, m.KnownPeers):
            source.peers = payload.addresses
            self._take_peers()
            self.entries = max(self.entries, payload.entries)
        elif isinstance(payload, OpReply):
            self._take_read(payload)

    def _take_evacuations(self, rows: tuple[Evacuation, ...]) -> None:
        news = self._evacuations.take(rows)
        if news:
            self._out.append(m.EvacuationsLearnt(news))

    def _take_helpers(self, helpers: tuple[m.Helper, ...]) -> None:
        if helpers != self._helpers:
            self._helpers = helpers
            self._out.append(m.HelpersLearnt(helpers))

    def _take_peers(self) -> None:
        """Keeps those whom any linked control instance names.

        One that is cut off may know an older list, so no list alone counts.
        Where a link goes down the list stays: after a loss of power of all
        control instances they are dialled where they were.
        """
        lists = [source.peers for source in self._sources.values()]
        named = sorted({address for peers in lists for address in peers})
        self.peers = tuple(named) or self.peers

    def _merge(self, row: m.SearcherRow) -> None:
        known = self._rows.get(row.searcher_id)
        if row is known:
            return
        if known is not None:
            row = newer(known, row)
            if row == known:
                return
        self._rows[row.searcher_id] = row
        self._out.append(m.SearcherLearnt(row))

    def _take_document(self, number: int, packed: bytes) -> None:
        if number > self.number and packed:
            self.number = number
            self._packed = packed
            self._wants_whole = False
            self._out.append(m.DocumentLearnt(number, packed))
        if self._fetch is not None and number >= self.number:
            self._fetch = None

    def _take_numbered(self, sender: str, msg: m.NumberedDocument) -> None:
        packed = msg.packed
        if msg.base and msg.number > self.number:
            try:
                packed = self._unpack_against(msg)
            except ValueError as exc:
                # It was packed against what this entry had when it asked.
                refused = m.DifferenceRefused(sender, msg.number, str(exc))
                self._out.append(refused)
                self._wants_whole = True
                self._fetch = None
                return
        self._take_document(msg.number, packed)

    def _unpack_against(self, msg: m.NumberedDocument) -> bytes:
        if msg.base != self.number:
            raise ValueError("packed against another document")
        text = difference.unpack(zlib.decompress(self._packed), msg.packed)
        return zlib.compress(text, KEPT_LEVEL)

    def _take_read(self, reply: OpReply) -> None:
        if reply.code == Code.NOT_LEADER:
            self._reads.note_leader(self._now, reply.leader)
            return
        if reply.code != Code.CURRENT:
            return
        self._take_document(reply.version, reply.packed)
        # Before it serves, a starting entry has to know these as well.
        self._take_evacuations(reply.evacuations)
        if self._confirmed_at is None:
            self._confirmed_at = self._now
            self._confirmed = reply.version

    def _drive_fetch(self) -> None:
        """Fetches a newer document from one of those that have it."""
        holders = [
            name
            for name, source in self._sources.items()
            if source.document > self.number
        ]
        if not holders:
            self._fetch = None
            return
        if self._fetch is not None and self._now < self._fetch.again_at:
            return
        last = self._fetch.source if self._fetch is not None else ""
        others = [name for name in holders if name != last]
        source = (others or holders)[0]
        self._fetch = _Fetch(source, self._now + FETCH_AGAIN_S)
        known = 0 if self._wants_whole else self.number
        self._out.append(Send(source, m.WantNumbered(known)))

    def _drive_report(self) -> None:
        """Reports slow searchers, all to one control instance.

        Reports of one searcher must meet in one place; any that all entries
        are likely to choose will do.
        """
        if not self._slow_seen or self._now < self._report_at:
            return
        self._report_at = self._now + REPORT_EVERY_S
        if self._sources:
            seen = sorted(self._slow_seen, key=lambda key: key.searcher_id)
            report = m.SlowReport(tuple(seen))
            self._out.append(Send(min(self._sources), report))
        self._slow_seen.clear()

    def _drive_read(self) -> None:
        """Asks until a quorum has confirmed which document is current.

        What any control instance has is fetched already, from one of them:
        nine answers with the whole document would go to each entry after a
        loss of power.
        """
        if self._confirmed_at is not None or not self._reads.is_due(self._now):
            return
        told = max((s.document for s in self._sources.values()), default=0)
        known = max(self.number, told)
        self._out += self._reads.ask(self._now, list(self._sources), known)

    def _drive_ready(self) -> None:
        ready = not self.leaving and self._is_settled()
        if ready == self.me.ready:
            return
        self.me = attrs.evolve(self.me, ready=ready)
        self._out.append(m.ReadyChanged(ready))
        for name in self._sources:
            self._out.append(Send(name, self.me))

    def _drive_helpers(self) -> None:
        """Asks now and then with whom queries may be shared.

        One control instance answers, not the same for all entries.
        """
        if not self.me.ready or self._now < self._helpers_at:
            return
        names = sorted(self._sources)
        if names and self.me.peer_address:
            self._helpers_at = self._now + HELPERS_EVERY_S
            turn = zlib.crc32(self.me.name.encode()) + int(self._now)
            asked = names[turn % len(names)]
            self._out.append(Send(asked, m.WantHelpers()))

    def _is_settled(self) -> bool:
        if self.me.ready:
            return True
        if not self.is_confirmed:
            return False
        known = len(self.peers)
        heard = sum(source.whole for source in self._sources.values())
        waited = self._now - self._confirmed_at
        return bool(heard) and (heard >= known or waited >= SETTLE_S)
