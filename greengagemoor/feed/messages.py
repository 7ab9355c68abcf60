"""Messages of the feed between control instances and entries.

The attrs classes down to ``Evacuations`` travel as protobuf messages of the
same names (wire/peers.proto); the rest stays inside a process. Times are
seconds.
"""

from __future__ import annotations

import enum

from greengagemoor.control.evacuations import Evacuation
from greengagemoor.util import values


class SearcherState(enum.Enum):
    """What is known of a searcher.

    ``LOST`` is a control instance's guess from missing announcements; the
    others are the searcher's own words.
    """

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LOST = "lost"

    @property
    def has_ended(self) -> bool:
        """Whether the searcher runs nothing any more, as far as known."""
        return self in (SearcherState.GONE, SearcherState.LOST)


@values.frozen
class SearcherKey:
    """One start of a searcher.

    Attributes:
        searcher_id: may be the one of an earlier start.
        start: when it started, in Unix milliseconds of the searcher's own
            clock; 0 if it doesn't say. It orders starts of one id and is
            compared with no other clock.
    """

    searcher_id: str
    start: int = 0


@values.frozen
class SearcherRow:
    """One start of a searcher, as one control instance heard it.

    Attributes:
        sequence: grows with each announcement of that start.
        slots: requests that it works on at once.
        cold_left_s: how much longer it is slow after its start.
        start: as in ``SearcherKey``.
    """

    searcher_id: str
    service: str
    address: str
    data_centre: str
    state: SearcherState
    sequence: int
    slots: int
    cold_left_s: float
    start: int = 0

    @property
    def key(self) -> SearcherKey:
        """Names this start."""
        return SearcherKey(self.searcher_id, self.start)


@values.frozen
class Subscribe:
    """A process asks for rows; an entry again at each change of ``ready``.

    Attributes:
        address: where callers reach it; '' for a control instance.
        peer_address: where other entries reach it.
    """

    name: str
    address: str
    data_centre: str
    ready: bool
    peer_address: str = ""


@values.frozen
class WantHelpers:
    """An entry asks with which others it may share queries."""


@values.frozen
class Helper:
    """An entry as other entries reach it."""

    name: str
    address: str


@values.frozen
class Helpers:
    """Entries with which the asking one may share queries."""

    helpers: tuple[Helper, ...]


@values.frozen
class SearcherRows:
    """Rows that changed, or all rows of the sender when ``whole``.

    Attributes:
        number: grows with each message of one sender.
    """

    number: int
    whole: bool
    rows: tuple[SearcherRow, ...]


@values.frozen
class RowsTaken:
    """An entry has taken in all ``SearcherRows`` up to ``number``."""

    number: int


@values.frozen
class DocumentNumber:
    """The sender has applied the document of this number."""

    number: int


@values.frozen
class WantNumbered:
    """Asks for the document, if it is newer than ``known_number``."""

    known_number: int


@values.frozen
class NumberedDocument:
    """A document with the operator's number.

    Attributes:
        packed: compressed.
        base: number of the document against which it is packed, 0 if none.
    """

    number: int
    packed: bytes
    base: int = 0


@values.frozen
class KnownPeers:
    """Where control instances are found.

    Attributes:
        addresses: their peer addresses.
        entries: how many entries the sender has heard lately, gone ones
            included.
    """

    addresses: tuple[str, ...]
    entries: int


@values.frozen
class SlowReport:
    """An entry saw late answers, or none, of these searchers; once each."""

    searchers: tuple[SearcherKey, ...]


@values.frozen
class SlowSearchers:
    """These searchers are slow for several entries; avoid them that long."""

    searchers: tuple[SearcherKey, ...]
    for_s: float


@values.frozen
class Suspect:
    """A request under which searchers have ended.

    Attributes:
        fingerprint: of the request.
        epoch: how often it was cleared.
        ended: starts that ended as they ran it since then; the first few.
        failed: starts that ended in a trial of it.
        sure: nothing but the request explains the end of one of these.
        route: name of its route, for operators.
    """

    fingerprint: bytes
    epoch: int = 0
    ended: tuple[SearcherKey, ...] = ()
    failed: tuple[SearcherKey, ...] = ()
    sure: bool = False
    route: str = ""


@values.frozen
class SuspectRows:
    """What the sender knows of some requests; it is joined, never replaced."""

    rows: tuple[Suspect, ...]


@values.frozen
class Evacuations:
    """The latest word on each data centre that the sender knows."""

    rows: tuple[Evacuation, ...]


# Inside a process.


@values.frozen
class HelpersLearnt:
    """With which entries this one may share queries from now on."""

    helpers: tuple[Helper, ...]


@values.frozen
class EvacuationsLearnt:
    """Newer words on data centres reached this entry."""

    rows: tuple[Evacuation, ...]


@values.frozen
class SuspectsSeen:
    """An entry has seen searchers end, or a request answered."""

    rows: tuple[Suspect, ...]


@values.frozen
class SuspectsLearnt:
    """What others have seen reached this entry."""

    rows: tuple[Suspect, ...]


@values.frozen
class StandingChanged:
    """A request is suspected, quarantined or cleared here from now on."""

    row: Suspect


@values.frozen
class ClearSuspect:
    """An operator clears a request."""

    fingerprint: bytes


@values.frozen
class SlowSeen:
    """A send took several times the usual of its route."""

    searcher: SearcherKey


@values.frozen
class Announced:
    """A searcher announced itself here.

    Attributes:
        token: echoed in ``AnnouncementTaken``.
    """

    token: object
    row: SearcherRow


@values.frozen
class Leaving:
    """A searcher says that it ends; it may serve a little longer.

    Attributes:
        start: which start of it says so; None if it doesn't say.
    """

    token: object
    searcher_id: str
    start: int | None = None


@values.frozen
class AnnouncementTaken:
    """The announcement may be acknowledged now."""

    token: object


@values.frozen
class AnnouncementRefused:
    """The announcement was not taken in; another instance may take it."""

    token: object


@values.frozen
class LinkUp:
    """A link to a process of ours works; ``name`` is that process."""

    name: str


@values.frozen
class LinkDown:
    """The link to a process of ours is gone."""

    name: str


@values.frozen
class SearcherLearnt:
    """An entry's view of a searcher is new or has changed."""

    row: SearcherRow


@values.frozen
class DocumentLearnt:
    """A newer document reached this entry."""

    number: int
    packed: bytes


@values.frozen
class DifferenceRefused:
    """A difference does not fit what this entry has; it asks for the whole."""

    source: str
    number: int
    reason: str


@values.frozen
class ReadyChanged:
    """Whether this entry may be given to callers."""

    ready: bool
