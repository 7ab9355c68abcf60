"""Control side of the feed: takes announcements, pushes changes to entries."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from greengagemoor.control.evacuations import EvacuationView
from greengagemoor.control.messages import (
    EvacuationsAccepted,
    NumberedAccepted,
    Received,
    Send,
)
from greengagemoor.feed import helpers
from greengagemoor.feed import messages as m
from greengagemoor.feed.heard import FORGET_S, LOST_AFTER_BEATS, HeardRows
from greengagemoor.feed.history import DocumentHistory
from greengagemoor.feed.messages import SearcherState
from greengagemoor.feed.rows import OtherRows
from greengagemoor.feed.slowness import SlowTable
from greengagemoor.feed.spread import SuspectSpread
from greengagemoor.feed.subscribers import Subscribers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.timing import Timing


class Hub:
    """Pushes what this control instance heard itself.

    Each entry subscribes at every control instance, so a change crosses each
    link once, and no two control instances need to agree on a searcher: the
    entry takes the row with the highest sequence. Control instances subscribe
    at each other too; what they learn so is for entries that subscribe later.
    """

    def __init__(self, timing: Timing, name: str = ""):
        """Starts knowing nothing.

        Args:
            timing: intervals.
            name: this control instance.
        """
        self._timing = timing
        self._me = m.Subscribe(name, "", "", ready=False)
        self._heard = HeardRows(timing.announce)
        self._subscribers = Subscribers()
        self._number = 0
        self._documents = DocumentHistory()
        self._peers: tuple[str, ...] = ()
        self._peers_changed = False
        self._peer_names: frozenset[str] = frozenset()
        self._linked: set[str] = set()
        self._subscribed: set[str] = set()
        self._others = OtherRows(LOST_AFTER_BEATS * timing.announce, FORGET_S)
        self._slow = SlowTable()
        self._evacuations = EvacuationView()
        self.suspects = SuspectSpread(self._subscribers)
        self._services: frozenset[str] | None = None
        self._outside = False
        self._sweep_at = 0.0
        self._now = 0.0
        self._out: list = []

    @property
    def number(self) -> int:
        """Grows with each change of the rows."""
        return self._number

    @property
    def others_number(self) -> int:
        """Grows with each change of other instances' rows."""
        return self._others.changes

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds of a clock that doesn't go back.
            msgs: ``Announced``, ``Leaving``, ``Received``, ``LinkUp``,
                ``LinkDown``, ``NumberedAccepted``, ``EvacuationsAccepted``,
                ``ClearSuspect``.

        Returns:
            ``Send``, ``AnnouncementTaken``, ``AnnouncementRefused`` and
            ``StandingChanged``.
        """
        self._now, self._out = now, []
        for msg in msgs:
            self._take(msg)
        self._drive_subscribe()
        if now >= self._sweep_at:
            self._sweep()
        self._push()
        self._release()
        return self._out

    def next_wake(self) -> float:
        """Returns when a tick is due although no message came."""
        times = (self._sweep_at, self._subscribers.next_release)
        return min(at for at in times if at is not None)

    def entries_for_caller(self) -> list[m.Subscribe]:
        """Returns the entries that a caller may be given."""
        return self._subscribers.ready_in_turn()

    def gauges(self) -> dict[str, float]:
        """Returns numbers of the moment, for metrics."""
        states = Counter(row.state.value for row in self._heard.rows())
        return {
            "entries_linked": len(self._subscribers.entries()),
            "entries_ready": len(self._subscribers.ready()),
            "acknowledgements_held": self._subscribers.held,
            **self.suspects.table.counts(),
            **{f"searchers_{name}": n for name, n in states.items()},
        }

    def kept_rows(self) -> m.SearcherRows:
        """Returns what a restart of this instance should begin with."""
        gone = SearcherState.GONE
        kept = tuple(r for r in self._heard.rows() if r.state is not gone)
        return m.SearcherRows(self._number, True, kept)

    @property
    def entries_seen(self) -> int:
        """How many entries share what searchers and rules allow."""
        return self._subscribers.entries_seen

    def begin_with_entries(self, now: float, number: int) -> None:
        """Takes in how many entries there were before a restart."""
        self._subscribers.begin_with(now, number)

    def kept_others(self) -> m.SearcherRows:
        """Returns what a restart should know of other instances' words."""
        return m.SearcherRows(self._number, True, self._others.rows())

    def begin_with_others(
        self, now: float, rows: Iterable[m.SearcherRow]
    ) -> None:
        """Takes in other instances' rows that were kept before a restart."""
        self._others.begin_with(now, rows)

    def begin_with(self, now: float, rows: Iterable[m.SearcherRow]) -> None:
        """Takes in rows that were kept before a restart.

        Args:
            now: as in ``step``, which may not have run yet.
            rows: what was kept.
        """
        self._heard.begin_with(now, rows)

    def set_peers(
        self, addresses: tuple[str, ...], names: frozenset[str] = frozenset()
    ) -> None:
        """Sets the control instances that entries are told of.

        Args:
            addresses: where they are reached.
            names: what they are called on links.
        """
        self._peer_names = names
        if addresses != self._peers:
            self._peers = addresses
            self._peers_changed = True

    def set_outside(self, outside: bool) -> None:
        """Sets whether this control instance is outside any group.

        Entries are told of members only. As long as none has linked to an
        instance outside by itself, a drain that it acknowledged would be
        heard by nobody; the searcher turns to another instance instead.
        """
        self._outside = outside

    def set_services(self, names: frozenset[str]) -> None:
        """Sets the services that the document in force names.

        An announcement may come from another writer. Only one for a service
        that is named ends the searcher that has had its address.
        """
        self._services = names

    def _known_peers(self) -> m.KnownPeers:
        return m.KnownPeers(self._peers, self._subscribers.entries_seen)

    def _take(self, msg: object) -> None:
        if isinstance(msg, m.Announced):
            self._take_announced(msg)
        elif isinstance(msg, m.Leaving):
            self._take_leaving(msg)
        elif isinstance(msg, Received):
            self._take_received(msg.sender, msg.payload)
        elif isinstance(msg, m.LinkUp):
            self._linked.add(msg.name)
        elif isinstance(msg, m.LinkDown):
            self._linked.discard(msg.name)
            self._subscribed.discard(msg.name)
            self._subscribers.drop(msg.name)
        elif isinstance(msg, NumberedAccepted):
            self._take_document(msg)
        elif isinstance(msg, EvacuationsAccepted):
            self._take_evacuations(msg)
        elif isinstance(msg, m.ClearSuspect):
            self._out += self.suspects.clear(msg.fingerprint)

    def _drive_subscribe(self) -> None:
        """Asks other control instances for their rows, once a link."""
        for name in (self._peer_names & self._linked) - self._subscribed:
            self._subscribed.add(name)
            self._out.append(Send(name, self._me))

    def _take_announced(self, msg: m.Announced) -> None:
        if self._is_unheard():
            self._out.append(m.AnnouncementRefused(msg.token))
            return
        row = msg.row
        named = self._services is None or row.service in self._services
        if self._heard.announce(self._now, row, displaces=named):
            self._hold(msg.token)
        else:
            self._out.append(m.AnnouncementTaken(msg.token))

    def _is_unheard(self) -> bool:
        return self._outside and not self._subscribers.entries()

    def _take_leaving(self, msg: m.Leaving) -> None:
        if self._is_unheard():
            self._out.append(m.AnnouncementRefused(msg.token))
            return
        start = msg.start
        if start is None:
            # It doesn't say which start ends; the newest one known is meant.
            start = self._heard.start_of(msg.searcher_id)
        if start is None:
            start = self._others.start_of(msg.searcher_id)
        self._heard.leave(self._now, m.SearcherKey(msg.searcher_id, start))
        self._hold(msg.token)

    def _hold(self, token: object) -> None:
        """Acknowledges once all that are linked have taken the change."""
        self._subscribers.hold(self._now, token, self._number + 1)

    def _take_received(self, sender: str, payload: object) -> None:
        if isinstance(payload, m.Subscribe):
            self._take_subscribe(sender, payload)
        elif isinstance(payload, m.SearcherRows):
            self._others.take(self._now, payload.rows)
            self._out.append(Send(sender, m.RowsTaken(payload.number)))
        elif isinstance(payload, m.SlowReport):
            self._take_slow(payload)
        elif isinstance(payload, m.SuspectRows):
            self._out += self.suspects.take(sender, payload.rows)
        elif isinstance(payload, m.WantHelpers):
            chosen = helpers.choose(self._subscribers.entries(), sender)
            self._out.append(Send(sender, m.Helpers(chosen)))
        elif isinstance(payload, m.RowsTaken):
            self._subscribers.note_taken(sender, payload.number)
        elif (
            isinstance(payload, m.WantNumbered)
            and self._documents.number > payload.known_number
        ):
            document = self._documents.answer(payload.known_number)
            self._out.append(Send(sender, document))

    def _take_slow(self, msg: m.SlowReport) -> None:
        for searcher in msg.searchers:
            avoid_s = self._slow.note(self._now, searcher)
            if avoid_s is None:
                continue
            told = m.SlowSearchers((searcher,), avoid_s)
            for name in self._subscribers:
                self._out.append(Send(name, told))

    def _take_subscribe(self, sender: str, msg: m.Subscribe) -> None:
        seen = self._subscribers.entries_seen
        if not self._subscribers.put(self._now, sender, msg):
            return
        if self._subscribers.entries_seen != seen:
            self._peers_changed = True
        rows = self._heard.rows()
        if msg.address:
            # Others' rows first: where both know a searcher, the entry keeps
            # the newer row.
            rows = self._others.rows() + rows
        self._out.append(Send(sender, self._known_peers()))
        if msg.address and self._evacuations.rows():
            told = m.Evacuations(self._evacuations.rows())
            self._out.append(Send(sender, told))
        self._out += self.suspects.tell(sender, is_entry=bool(msg.address))
        self._out.append(Send(sender, m.SearcherRows(self._number, True, rows)))
        self._out.append(Send(sender, m.DocumentNumber(self._documents.number)))

    def _take_document(self, msg: NumberedAccepted) -> None:
        if not self._documents.put(msg.number, msg.packed):
            return
        for name in self._subscribers:
            self._out.append(Send(name, m.DocumentNumber(msg.number)))

    def _take_evacuations(self, msg: EvacuationsAccepted) -> None:
        news = self._evacuations.take(msg.rows)
        if not news:
            return
        told = m.Evacuations(news)
        self._out += [
            Send(name, told)
            for name in self._subscribers
            if self._subscribers.is_entry(name)
        ]

    def _sweep(self) -> None:
        """Marks searchers lost that went silent, forgets what is long ended."""
        self._sweep_at = self._now + self._timing.announce / 4
        self._others.sweep(self._now)
        for searcher in self._heard.sweep(self._now):
            self._slow.forget(searcher)
        self._subscribers.sweep(self._now)

    def _push(self) -> None:
        if self._peers_changed:
            self._peers_changed = False
            for name in self._subscribers:
                self._out.append(Send(name, self._known_peers()))
        changed = tuple(self._heard.changed)
        if not changed:
            return
        self._number += 1
        rows = m.SearcherRows(self._number, False, changed)
        self._heard.changed.clear()
        for name in self._subscribers:
            self._out.append(Send(name, rows))

    def _release(self) -> None:
        tokens = self._subscribers.release(self._now, self._number)
        self._out += [m.AnnouncementTaken(token) for token in tokens]
