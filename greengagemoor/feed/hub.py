"""Control side of the feed: sends announced changes to entries."""

from __future__ import annotations

import sys
from collections import Counter
from typing import TYPE_CHECKING

from greengagemoor.control.evacuations import EvacuationView
from greengagemoor.control.messages import (
    EvacuationsAccepted,
    NumberedDocumentAccepted,
    Received,
    Send,
)
from greengagemoor.feed import helper_selection
from greengagemoor.feed import messages as m
from greengagemoor.feed.acknowledgements import PendingAcknowledgements
from greengagemoor.feed.announced import (
    ENDED_RETENTION_S,
    LOST_AFTER_INTERVALS,
    AnnouncedRows,
)
from greengagemoor.feed.departures import Departures
from greengagemoor.feed.directory import EntryDirectory
from greengagemoor.feed.history import DocumentHistory
from greengagemoor.feed.messages import SearcherState
from greengagemoor.feed.peer_rows import PeerRows
from greengagemoor.feed.places import PlaceDistributor
from greengagemoor.feed.slowness import SlowSearcherTable
from greengagemoor.feed.subscribers import Subscribers
from greengagemoor.feed.suspect_distribution import SuspectDistributor

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.timing import Timing


class FeedHub:
    """Sends the searchers that announced themselves here to subscribers.

    Each entry subscribes to every control instance, so a change crosses each
    link once, and control instances need not agree on a searcher: the entry
    keeps the row with the latest start and, of those, the highest sequence.
    Control instances also subscribe to each other; the rows received this way
    go to entries that subscribe later.
    """

    def __init__(self, timing: Timing, name: str = "", first_number: int = 0):
        """Creates a hub without searchers and subscribers.

        Args:
            timing: intervals.
            name: name of this control instance.
            first_number: number of its rows before the first change; above
                those of earlier processes, so that a late reply to one of them
                does not confirm rows of this one.
        """
        self._timing = timing
        self._name = name
        self._subscription = m.Subscribe(name, "", "", ready=False)
        self._own_rows = AnnouncedRows(timing.announce)
        self._subscribers = Subscribers()
        self._departures = Departures(ENDED_RETENTION_S)
        self._acknowledgements = PendingAcknowledgements(
            self._subscribers, self._departures
        )
        self._directory = EntryDirectory(name)
        self._places = PlaceDistributor(self._subscribers)
        self._number = first_number
        self._documents = DocumentHistory()
        self._peers: tuple[str, ...] = ()
        self._peers_changed = False
        self._peer_names: frozenset[str] = frozenset()
        self._linked: set[str] = set()
        self._subscribed: set[str] = set()
        self._other_rows = PeerRows(
            LOST_AFTER_INTERVALS * timing.announce, ENDED_RETENTION_S
        )
        self._slow_searchers = SlowSearcherTable()
        self._evacuations = EvacuationView()
        self.suspects = SuspectDistributor(self._subscribers)
        self._services: frozenset[str] | None = None
        self._is_outside_group = False
        self._sweep_at = 0.0
        self._now = 0.0
        self._out: list = []

    @property
    def number(self) -> int:
        """Version of this instance's rows; increases with each change."""
        return self._number

    @property
    def peer_rows_version(self) -> int:
        """Version of other instances' rows; increases with each change."""
        return self._other_rows.version

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds of a monotonic clock.
            msgs: ``SearcherAnnounced``, ``SearcherLeaving``, ``Received``,
                ``LinkUp``, ``LinkDown``, ``NumberedDocumentAccepted``,
                ``EvacuationsAccepted``, ``ClearSuspect``,
                ``DeparturesStored``.

        Returns:
            ``Send``, ``AnnouncementAccepted``, ``AnnouncementRejected`` and
            ``StandingChanged``.
        """
        self._now, self._out = now, []
        for msg in msgs:
            self._handle(msg)
        self._subscribe_to_peers()
        if now >= self._sweep_at:
            self._sweep()
        self._send_changes()
        self._send_due_acks()
        return self._out

    def next_wake(self) -> float:
        """Returns when the next tick is due if no message arrives."""
        times = (
            self._sweep_at,
            self._acknowledgements.next_release,
            self._places.next_wake,
        )
        return min(at for at in times if at is not None)

    def entries_for_caller(
        self, data_centre: str = "", limit: int = sys.maxsize
    ) -> list[m.Subscribe]:
        """Returns the ready entries to list to a caller.

        Args:
            data_centre: the caller's; '' if unknown.
            limit: maximum number to list.
        """
        ready = self._subscribers.ready()
        return self._directory.select(ready, data_centre, limit)

    def gauges(self) -> dict[str, float]:
        """Returns current values for metrics."""
        states = Counter(row.state.value for row in self._own_rows.rows())
        return {
            "entries_linked": len(self._subscribers.entries()),
            "entries_ready": len(self._subscribers.ready()),
            "acknowledgements_held": self._acknowledgements.held,
            "acknowledgements_rejected_total": self._acknowledgements.rejected,
            "addresses_contested_total": self._own_rows.contested,
            "departures": len(self._departures.rows()),
            "departures_stored": float(self._departures.is_stored),
            **self.suspects.table.counts(),
            **self._directory.gauges(),
            **{f"searchers_{name}": n for name, n in states.items()},
        }

    def rows_to_store(self) -> m.SearcherRows:
        """Returns this instance's rows to store for a restart."""
        gone = SearcherState.GONE
        kept = tuple(r for r in self._own_rows.rows() if r.state is not gone)
        return m.SearcherRows(self._number, True, kept)

    @property
    def departures_version(self) -> int:
        """Version of the departures; increases with each change."""
        return self._departures.version

    @property
    def is_stored(self) -> bool:
        """Whether the disk holds all departures."""
        return self._departures.is_stored

    def departures_to_store(self) -> m.SearcherRows:
        """Returns the searchers that drain or have left, for a restart."""
        return m.SearcherRows(self._number, True, self._departures.rows())

    def restore_departures(
        self, now: float, rows: Iterable[m.SearcherRow]
    ) -> None:
        """Restores the searchers that drain or have left.

        This instance tells others of all of them, whichever instance they
        announced themselves to: that one may have lost its disk.
        """
        rows = tuple(rows)
        self._departures.restore(now, rows)
        self._own_rows.restore(now, rows)

    @property
    def recent_entry_count(self) -> int:
        """Number of entries that share the limits of searchers and rules."""
        return self._subscribers.recent_entry_count

    def restore_entry_count(self, now: float, number: int) -> None:
        """Restores the number of entries from before a restart."""
        self._subscribers.restore(now, number)

    def peer_rows_to_store(self) -> m.SearcherRows:
        """Returns other instances' rows to store for a restart."""
        return m.SearcherRows(self._number, True, self._other_rows.rows())

    def restore_peer_rows(
        self, now: float, rows: Iterable[m.SearcherRow]
    ) -> None:
        """Restores other instances' rows stored before a restart."""
        self._other_rows.restore(now, rows)

    def restore(self, now: float, rows: Iterable[m.SearcherRow]) -> None:
        """Restores this instance's rows stored before a restart.

        Args:
            now: as in ``step``, which may not have run yet.
            rows: the stored rows.
        """
        self._own_rows.restore(now, rows)

    def set_peers(
        self, addresses: tuple[str, ...], names: frozenset[str] = frozenset()
    ) -> None:
        """Sets the control instances whose addresses are sent to entries.

        Args:
            addresses: their peer addresses.
            names: their names on links.
        """
        self._peer_names = names
        if addresses != self._peers:
            self._peers = addresses
            self._peers_changed = True

    def set_outside_group(self, outside: bool) -> None:
        """Sets whether this control instance belongs to no control group.

        Entries receive the addresses of members only. An instance outside the
        group that no entry has linked to rejects announcements: a drain that it
        acknowledged would reach no entry. The searcher then asks another
        instance.
        """
        self._is_outside_group = outside

    def set_services(self, names: frozenset[str]) -> None:
        """Sets the services that the document in force defines.

        An announcement may come from a writer that is no searcher. It
        displaces the previous searcher at its address only if its service is
        defined.
        """
        self._services = names

    def set_least_cap(self, cap: int | None) -> None:
        """Sets the least connection cap of any service; None if unknown.

        Entries receive their places only if they outnumber it.
        """
        self._places.set_least_cap(cap)

    def _known_peers(self) -> m.KnownPeers:
        return m.KnownPeers(self._peers, self._subscribers.recent_entry_count)

    def _handle(self, msg: object) -> None:
        if isinstance(msg, m.SearcherAnnounced):
            self._handle_announced(msg)
        elif isinstance(msg, m.SearcherLeaving):
            self._handle_leaving(msg)
        elif isinstance(msg, Received):
            self._handle_received(msg.sender, msg.payload)
        elif isinstance(msg, m.LinkUp):
            self._linked.add(msg.name)
        elif isinstance(msg, m.LinkDown):
            self._linked.discard(msg.name)
            self._subscribed.discard(msg.name)
            self._subscribers.drop(msg.name)
            self._departures.drop_sender(msg.name)
        elif isinstance(msg, NumberedDocumentAccepted):
            self._handle_document(msg)
        elif isinstance(msg, EvacuationsAccepted):
            self._handle_evacuations(msg)
        elif isinstance(msg, m.ClearSuspect):
            self._out += self.suspects.clear(msg.fingerprint)
        elif isinstance(msg, m.DeparturesStored):
            self._out += self._departures.note_stored(msg.version)

    def _subscribe_to_peers(self) -> None:
        """Subscribes to other control instances, once per link."""
        for name in (self._peer_names & self._linked) - self._subscribed:
            self._subscribed.add(name)
            self._out.append(Send(name, self._subscription))

    def _handle_announced(self, msg: m.SearcherAnnounced) -> None:
        row = msg.row
        departs = row.state is SearcherState.DRAINING
        if self._must_reject(departs=departs):
            self._out.append(m.AnnouncementRejected(msg.token))
            return
        is_defined = self._services is None or row.service in self._services
        is_changed = self._own_rows.announce(
            self._now, row, may_displace=is_defined
        )
        # A late announcement of an earlier start changes nothing.
        departs = departs and row.start == self._own_rows.start_of(
            row.searcher_id
        )
        if is_changed or departs:
            self._delay_ack(msg.token, departs=departs)
        else:
            self._out.append(m.AnnouncementAccepted(msg.token))

    def _must_reject(self, *, departs: bool) -> bool:
        """Whether another instance must handle an announcement.

        Outside a group, no entry may learn of it, and no majority stores it.
        """
        is_heard = bool(self._subscribers.entries()) and not departs
        return self._is_outside_group and not is_heard

    def _handle_leaving(self, msg: m.SearcherLeaving) -> None:
        if self._must_reject(departs=True):
            self._out.append(m.AnnouncementRejected(msg.token))
            return
        start = msg.start
        if start is None:
            # The message names no start: the newest known one is meant.
            start = self._own_rows.start_of(msg.searcher_id)
        if start is None:
            start = self._other_rows.start_of(msg.searcher_id)
        self._own_rows.leave(self._now, m.SearcherKey(msg.searcher_id, start))
        self._delay_ack(msg.token, departs=True)

    def _delay_ack(self, token: object, *, departs: bool) -> None:
        """Delays an acknowledgement until others have the change."""
        changed = self._own_rows.changed
        self._departures.note(self._now, changed)
        number = self._number + bool(changed)
        self._acknowledgements.add(self._now, token, number, departs=departs)

    def _handle_received(self, sender: str, payload: object) -> None:
        if isinstance(payload, m.Subscribe):
            self._handle_subscribe(sender, payload)
        elif isinstance(payload, m.SearcherRows):
            self._other_rows.merge(self._now, payload.rows)
            self._own_rows.contradict(payload.rows)
            taken = self._departures.note_received(self._now, sender, payload)
            self._out.append(Send(sender, taken))
        elif isinstance(payload, m.SlowReport):
            self._handle_slow_report(payload)
        elif isinstance(payload, m.SuspectRows):
            self._out += self.suspects.merge(sender, payload.rows)
        elif isinstance(payload, m.WantHelpers):
            chosen = helper_selection.choose(
                self._subscribers.entries(), sender
            )
            self._out.append(Send(sender, m.Helpers(chosen)))
        elif isinstance(payload, m.RowsTaken):
            self._subscribers.note_taken(sender, payload)
        elif (
            isinstance(payload, m.WantNumbered)
            and self._documents.number > payload.known_number
        ):
            document = self._documents.answer(payload.known_number)
            self._out.append(Send(sender, document))

    def _handle_slow_report(self, msg: m.SlowReport) -> None:
        for searcher in msg.searchers:
            avoid_s = self._slow_searchers.note(self._now, searcher)
            if avoid_s is None:
                continue
            message = m.SlowSearchers((searcher,), avoid_s)
            for name in self._subscribers:
                self._out.append(Send(name, message))

    def _handle_subscribe(self, sender: str, msg: m.Subscribe) -> None:
        previous = self._subscribers.recent_entry_count
        if not self._subscribers.put(self._now, sender, msg):
            return
        if self._subscribers.recent_entry_count != previous:
            self._peers_changed = True
        rows = self._own_rows.rows()
        if msg.address:
            # Others' rows first: where both sets contain a searcher, the entry
            # keeps the newer row.
            rows = self._other_rows.rows() + rows
        self._out.append(Send(sender, self._known_peers()))
        if msg.address:
            # Before the rows, so that the entry knows which searchers it may
            # use before it is ready for callers.
            self._out += self._places.place_on_subscribe(sender)
        if msg.address and self._evacuations.rows():
            message = m.Evacuations(self._evacuations.rows())
            self._out.append(Send(sender, message))
        self._out += self.suspects.rows_message(
            sender, is_entry=bool(msg.address)
        )
        self._out.append(Send(sender, m.SearcherRows(self._number, True, rows)))
        self._out.append(Send(sender, m.DocumentNumber(self._documents.number)))

    def _handle_document(self, msg: NumberedDocumentAccepted) -> None:
        if not self._documents.put(msg.number, msg.packed):
            return
        for name in self._subscribers:
            self._out.append(Send(name, m.DocumentNumber(msg.number)))

    def _handle_evacuations(self, msg: EvacuationsAccepted) -> None:
        changed = self._evacuations.merge(msg.rows)
        if not changed:
            return
        message = m.Evacuations(changed)
        self._out += [
            Send(name, message)
            for name in self._subscribers
            if self._subscribers.is_entry(name)
        ]

    def _sweep(self) -> None:
        """Marks silent searchers lost and removes expired records."""
        self._sweep_at = self._now + self._timing.announce / 4
        self._other_rows.sweep(self._now)
        self._departures.sweep(self._now)
        for searcher in self._own_rows.sweep(self._now):
            self._slow_searchers.forget(searcher)
        self._subscribers.sweep(self._now)

    def _send_changes(self) -> None:
        if self._peers_changed:
            self._peers_changed = False
            for name in self._subscribers:
                self._out.append(Send(name, self._known_peers()))
        self._out += self._places.due_places(self._now)
        changed = tuple(self._own_rows.changed)
        if not changed:
            return
        self._departures.note(self._now, changed)
        self._number += 1
        rows = m.SearcherRows(self._number, False, changed)
        self._own_rows.changed.clear()
        for name in self._subscribers:
            self._out.append(Send(name, rows))

    def _send_due_acks(self) -> None:
        self._out += self._acknowledgements.settle(
            self._now, self._number, self._name, self._peer_names
        )
