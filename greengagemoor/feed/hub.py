"""Control side of the feed: takes announcements, pushes changes to entries."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

import attrs

from greengagemoor.control.messages import NumberedAccepted, Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.messages import SearcherState
from greengagemoor.feed.rows import OtherRows
from greengagemoor.feed.slowness import SlowTable

if TYPE_CHECKING:
    from collections.abc import Iterable

HOLD_S = 0.6
"""Longest wait of an acknowledgement for the entries; callers wait 1 s."""
FORGET_S = 120.0
"""How long an ended searcher's id is kept, so that late words of it, held up
by a cut, don't bring it back."""
ENTRY_SEEN_S = 600.0
"""How long an entry counts for connection shares after it was last heard."""
LOST_AFTER_BEATS = 2.6
KEPT_BEATS = 1.8
"""How long a row that was kept over a restart waits for its searcher."""
JUMP_BEATS = 1.6


@attrs.frozen
class Timing:
    """Intervals in seconds.

    Attributes:
        announce: how often searchers announce themselves.
    """

    announce: float


@attrs.define
class _Heard:
    row: m.SearcherRow
    heard_at: float


@attrs.define
class _Subscriber:
    subscribe: m.Subscribe
    taken: int = 0


@attrs.frozen
class _Waiting:
    token: object
    number: int
    until: float


class Hub:
    """What this control instance heard itself; it repeats no other's words.

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
        self._searchers: dict[str, _Heard] = {}
        self._by_address: dict[str, str] = {}
        self._subscribers: dict[str, _Subscriber] = {}
        self._entries_seen: dict[str, float] = {}
        self._waiting: deque[_Waiting] = deque()
        self._changed: list[m.SearcherRow] = []
        self._number = 0
        self._document = m.NumberedDocument(0, b"")
        self._peers: tuple[str, ...] = ()
        self._peers_changed = False
        self._peer_names: frozenset[str] = frozenset()
        self._linked: set[str] = set()
        self._subscribed: set[str] = set()
        self._others = OtherRows(LOST_AFTER_BEATS * timing.announce, FORGET_S)
        self._slow = SlowTable()
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
                ``LinkDown``, ``NumberedAccepted``.

        Returns:
            ``Send`` and ``AnnouncementTaken``.
        """
        self._now = now
        self._out = []
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
        if self._waiting:
            return min(self._sweep_at, self._waiting[0].until)
        return self._sweep_at

    def ready_entries(self) -> list[m.Subscribe]:
        """Returns the entries that callers may be given."""
        subscribes = (one.subscribe for one in self._subscribers.values())
        return [s for s in subscribes if s.ready]

    def gauges(self) -> dict[str, float]:
        """Returns numbers of the moment, for metrics."""
        heard = self._searchers.values()
        states = Counter(one.row.state.value for one in heard)
        linked = (one.subscribe for one in self._subscribers.values())
        return {
            "entries_linked": sum(bool(s.address) for s in linked),
            "entries_ready": len(self.ready_entries()),
            "acknowledgements_held": len(self._waiting),
            **{f"searchers_{name}": n for name, n in states.items()},
        }

    def kept_rows(self) -> m.SearcherRows:
        """Returns what a restart of this instance should begin with."""
        rows = (heard.row for heard in self._searchers.values())
        kept = tuple(r for r in rows if r.state is not SearcherState.GONE)
        return m.SearcherRows(self._number, True, kept)

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

        After a kill of everything, searchers announce themselves only within
        an interval; until then no entry would know any. A kept row that isn't
        announced again soon is lost like one that fell silent.

        Args:
            now: as in ``step``, which may not have run yet.
            rows: what was kept.
        """
        silent = LOST_AFTER_BEATS - KEPT_BEATS
        heard_at = now - silent * self._timing.announce
        for row in rows:
            if row.searcher_id in self._searchers:
                continue
            self._searchers[row.searcher_id] = _Heard(row, heard_at)
            self._by_address.setdefault(row.address, row.searcher_id)
            self._changed.append(row)

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

    def _known_peers(self) -> m.KnownPeers:
        return m.KnownPeers(self._peers, len(self._entries_seen))

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
            self._subscribers.pop(msg.name, None)
        elif isinstance(msg, NumberedAccepted):
            self._take_document(msg)

    def _drive_subscribe(self) -> None:
        """Asks other control instances for their rows, once a link."""
        for name in (self._peer_names & self._linked) - self._subscribed:
            self._subscribed.add(name)
            self._out.append(Send(name, self._me))

    def _take_announced(self, msg: m.Announced) -> None:
        row = msg.row
        known = self._searchers.get(row.searcher_id)
        if self._is_late(row, known):
            self._out.append(m.AnnouncementTaken(msg.token))
            return
        self._displace(row)
        self._searchers[row.searcher_id] = _Heard(row, self._now)
        if known is not None and not self._is_news(known, row):
            self._out.append(m.AnnouncementTaken(msg.token))
            return
        self._changed.append(row)
        self._hold(msg.token)

    def _is_late(self, row: m.SearcherRow, known: _Heard | None) -> bool:
        if known is None:
            return False
        # A start that ended, or whose address another start has taken over,
        # can only be heard of by words that were held up on their way.
        if known.row.state is SearcherState.GONE:
            return True
        return row.sequence <= known.row.sequence

    def _displace(self, row: m.SearcherRow) -> None:
        """Ends the start that had this address before."""
        previous = self._by_address.get(row.address)
        if previous == row.searcher_id:
            return
        self._by_address[row.address] = row.searcher_id
        heard = self._searchers.get(previous) if previous else None
        if heard is not None:
            self._set_state(heard, SearcherState.GONE)

    def _is_news(self, known: _Heard, row: m.SearcherRow) -> bool:
        if known.row.state is not row.state:
            return True
        if known.row.address != row.address:
            return True
        # After a gap, another control instance may have told entries that the
        # searcher is lost, under a sequence above the one told from here.
        gap = self._now - known.heard_at
        return gap > JUMP_BEATS * self._timing.announce

    def _take_leaving(self, msg: m.Leaving) -> None:
        heard = self._searchers.get(msg.searcher_id)
        if heard is None:
            # Heard elsewhere so far; entries know its address from there.
            row = m.SearcherRow(
                msg.searcher_id, "", "", "", SearcherState.GONE, 0, 0, 0.0
            )
            heard = _Heard(row, self._now)
            self._searchers[msg.searcher_id] = heard
            self._changed.append(row)
        elif heard.row.state is not SearcherState.GONE:
            self._set_state(heard, SearcherState.GONE)
        self._hold(msg.token)

    def _set_state(self, heard: _Heard, state: SearcherState) -> None:
        heard.row = attrs.evolve(heard.row, state=state)
        self._changed.append(heard.row)

    def _hold(self, token: object) -> None:
        """Acknowledges once every entry that is linked has taken the change.

        A searcher that drains stops serving some seconds after the
        acknowledgement. If that outran the change, entries would go on
        sending to it.
        """
        number = self._number + 1
        self._waiting.append(_Waiting(token, number, self._now + HOLD_S))

    def _take_received(self, sender: str, payload: object) -> None:
        if isinstance(payload, m.Subscribe):
            self._take_subscribe(sender, payload)
        elif isinstance(payload, m.SearcherRows):
            self._others.take(self._now, payload.rows)
            self._out.append(Send(sender, m.RowsTaken(payload.number)))
        elif isinstance(payload, m.SlowReport):
            self._take_slow(payload)
        elif isinstance(payload, m.RowsTaken):
            one = self._subscribers.get(sender)
            if one is not None:
                one.taken = max(one.taken, payload.number)
        elif (
            isinstance(payload, m.WantNumbered)
            and self._document.number > payload.known_number
        ):
            self._out.append(Send(sender, self._document))

    def _take_slow(self, msg: m.SlowReport) -> None:
        for searcher_id in msg.searcher_ids:
            avoid_s = self._slow.note(self._now, searcher_id)
            if avoid_s is None:
                continue
            told = m.SlowSearchers((searcher_id,), avoid_s)
            for name in self._subscribers:
                self._out.append(Send(name, told))

    def _take_subscribe(self, sender: str, msg: m.Subscribe) -> None:
        known = self._subscribers.get(sender)
        is_new = bool(msg.address) and sender not in self._entries_seen
        if msg.address:
            self._entries_seen[sender] = self._now
        if known is not None:
            known.subscribe = msg
            return
        self._subscribers[sender] = _Subscriber(msg)
        rows = tuple(heard.row for heard in self._searchers.values())
        if msg.address:
            # Others' rows first: where both know a searcher, the entry keeps
            # the newer row.
            rows = self._others.rows() + rows
        self._out.append(Send(sender, self._known_peers()))
        self._out.append(Send(sender, m.SearcherRows(self._number, True, rows)))
        self._out.append(Send(sender, m.DocumentNumber(self._document.number)))
        if is_new:
            self._peers_changed = True

    def _take_document(self, msg: NumberedAccepted) -> None:
        if msg.number <= self._document.number:
            return
        self._document = m.NumberedDocument(msg.number, msg.packed)
        for name in self._subscribers:
            self._out.append(Send(name, m.DocumentNumber(msg.number)))

    def _sweep(self) -> None:
        """Marks searchers lost that went silent, forgets what is long ended."""
        self._sweep_at = self._now + self._timing.announce / 4
        self._others.sweep(self._now)
        silent = self._now - LOST_AFTER_BEATS * self._timing.announce
        ended = []
        for searcher_id, heard in self._searchers.items():
            if heard.heard_at > silent:
                continue
            if heard.row.state is SearcherState.READY:
                self._set_state(heard, SearcherState.LOST)
            elif heard.heard_at < self._now - FORGET_S:
                ended.append(searcher_id)
        for searcher_id in ended:
            self._slow.forget(searcher_id)
            row = self._searchers.pop(searcher_id).row
            if self._by_address.get(row.address) == searcher_id:
                del self._by_address[row.address]
        oldest = self._now - ENTRY_SEEN_S
        for name, one in self._subscribers.items():
            if one.subscribe.address:
                self._entries_seen[name] = self._now
        self._entries_seen = {
            name: seen
            for name, seen in self._entries_seen.items()
            if seen > oldest
        }

    def _push(self) -> None:
        if self._peers_changed:
            self._peers_changed = False
            for name in self._subscribers:
                self._out.append(Send(name, self._known_peers()))
        if not self._changed:
            return
        self._number += 1
        rows = m.SearcherRows(self._number, False, tuple(self._changed))
        self._changed = []
        for name in self._subscribers:
            self._out.append(Send(name, rows))

    def _release(self) -> None:
        taken = min(
            (one.taken for one in self._subscribers.values()),
            default=self._number,
        )
        while self._waiting:
            first = self._waiting[0]
            if first.number > taken and self._now < first.until:
                return
            self._waiting.popleft()
            self._out.append(m.AnnouncementTaken(first.token))
