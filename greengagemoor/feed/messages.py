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
    """State of a searcher.

    A control instance infers ``LOST`` from missing announcements, or from those
    of another searcher at the same address; the searcher itself reports the
    others.
    """

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LOST = "lost"

    @property
    def has_ended(self) -> bool:
        """Whether the searcher is believed to process no requests any more."""
        return self in (SearcherState.GONE, SearcherState.LOST)


@values.frozen
class SearcherKey:
    """One incarnation of a searcher: a run of its process.

    Attributes:
        searcher_id: may be reused by later incarnations.
        start: start time in Unix milliseconds of the searcher's own clock; 0
            if not reported. It orders the incarnations of one ID and is never
            compared with another clock.
    """

    searcher_id: str
    start: int = 0


@values.frozen
class SearcherRow:
    """One incarnation of a searcher, as announced to one control instance.

    Attributes:
        sequence: increases with each announcement of the incarnation.
        slots: number of requests that it processes concurrently.
        cold_left_s: remaining warm-up time.
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
        """Identifies this incarnation."""
        return SearcherKey(self.searcher_id, self.start)


@values.frozen
class Subscribe:
    """Requests rows; an entry sends it again when ``ready`` changes.

    Attributes:
        address: address for callers; '' for a control instance.
        peer_address: address for other entries.
        capacity: what the entry can carry, relative to others; 0 if unknown.
    """

    name: str
    address: str
    data_centre: str
    ready: bool
    peer_address: str = ""
    capacity: float = 0.0


@values.frozen
class EntryPlace:
    """An entry's place among all entries that the sender knows.

    Attributes:
        rank: number of entries whose names sort before its own.
        entries: number of all of them, including those gone recently.
    """

    rank: int
    entries: int


@values.frozen
class WantHelpers:
    """An entry requests the entries with which it may share queries."""


@values.frozen
class Helper:
    """An entry and its address for other entries."""

    name: str
    address: str


@values.frozen
class Helpers:
    """Entries with which the requesting entry may share queries."""

    helpers: tuple[Helper, ...]


@values.frozen
class SearcherRows:
    """Changed rows, or all rows of the sender if ``whole`` is set.

    Attributes:
        number: version of the sender's rows; increases with each change.
    """

    number: int
    whole: bool
    rows: tuple[SearcherRow, ...]


@values.frozen
class RowsTaken:
    """Acknowledges all ``SearcherRows`` up to ``number``.

    Attributes:
        stored: of these, the sender has stored the drains and leaves of all
            rows up to this number; 0 from an entry.
    """

    number: int
    stored: int = 0


@values.frozen
class DocumentNumber:
    """The sender has applied the document of this number."""

    number: int


@values.frozen
class WantNumbered:
    """Requests the document if it is newer than ``known_number``."""

    known_number: int


@values.frozen
class NumberedDocument:
    """A document with the number that the operator gave it.

    Attributes:
        packed: the compressed document, or its difference from ``base``.
        base: number of the document that the difference applies to; 0 if
            ``packed`` is the whole document.
    """

    number: int
    packed: bytes
    base: int = 0


@values.frozen
class KnownPeers:
    """Addresses of the control instances.

    Attributes:
        addresses: their peer addresses.
        entries: number of entries recently linked to the sender, including
            entries that have gone since.
    """

    addresses: tuple[str, ...]
    entries: int


@values.frozen
class SlowReport:
    """Searchers, each once, that answered an entry late or not at all."""

    searchers: tuple[SearcherKey, ...]


@values.frozen
class SlowSearchers:
    """Searchers that several entries found slow, to avoid for ``for_s``."""

    searchers: tuple[SearcherKey, ...]
    for_s: float


@values.frozen
class Suspect:
    """A request during which searchers terminated.

    Attributes:
        fingerprint: fingerprint of the request.
        epoch: number of times it was cleared.
        ended: a few of the incarnations that terminated while running it in
            this epoch.
        failed: incarnations that terminated in a trial of it.
        sure: whether one of these terminations has no other possible cause.
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
    """Rows of some requests; the receiver merges them and replaces none."""

    rows: tuple[Suspect, ...]


@values.frozen
class Evacuations:
    """Latest evacuation state of each data centre known to the sender."""

    rows: tuple[Evacuation, ...]


# Inside a process.


@values.frozen
class HelpersUpdated:
    """The entries with which this one may share queries from now on."""

    helpers: tuple[Helper, ...]


@values.frozen
class EvacuationsUpdated:
    """This entry received newer evacuation states of data centres."""

    rows: tuple[Evacuation, ...]


@values.frozen
class SuspectsObserved:
    """An entry observed that searchers terminated or a request was answered."""

    rows: tuple[Suspect, ...]


@values.frozen
class SuspectsReceived:
    """This entry received suspect requests from a control instance."""

    rows: tuple[Suspect, ...]


@values.frozen
class StandingChanged:
    """A request became suspect, quarantined or cleared here."""

    row: Suspect


@values.frozen
class ClearSuspect:
    """An operator clears a request."""

    fingerprint: bytes


@values.frozen
class SlowSendObserved:
    """A send took several times the usual time of its route."""

    searcher: SearcherKey


@values.frozen
class SearcherAnnounced:
    """A searcher announced itself here.

    Attributes:
        token: returned in ``AnnouncementAccepted``.
    """

    token: object
    row: SearcherRow


@values.frozen
class SearcherLeaving:
    """A searcher reports that it will stop; it may still serve briefly.

    Attributes:
        start: start time of the incarnation; None if not reported.
    """

    token: object
    searcher_id: str
    start: int | None = None


@values.frozen
class AnnouncementAccepted:
    """The announcement may now be acknowledged to the searcher."""

    token: object


@values.frozen
class AnnouncementRejected:
    """The announcement was rejected; another instance may accept it."""

    token: object


@values.frozen
class DeparturesStored:
    """The disk holds all drains and leaves up to ``version``."""

    version: int


@values.frozen
class LinkUp:
    """A link to the instance ``name`` is established."""

    name: str


@values.frozen
class LinkDown:
    """The link to the instance ``name`` is closed."""

    name: str


@values.frozen
class SearcherUpdated:
    """A searcher is new to this entry, or its row changed."""

    row: SearcherRow


@values.frozen
class DocumentUpdated:
    """This entry received a newer document."""

    number: int
    packed: bytes


@values.frozen
class DifferenceRejected:
    """Rejects a difference; the entry requests the whole document."""

    source: str
    number: int
    reason: str


@values.frozen
class ReadyChanged:
    """Whether this entry may be listed to callers has changed."""

    ready: bool
