"""Messages of the feed between control instances and entries.

The attrs classes down to ``SlowSearchers`` travel as protobuf messages of the
same names (wire/peers.proto); the rest stays inside a process. Times are
seconds.
"""

from __future__ import annotations

import enum

import attrs


class SearcherState(enum.Enum):
    """What is known of a searcher.

    ``LOST`` is a control instance's guess from missing announcements; the
    others are the searcher's own words.
    """

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LOST = "lost"


@attrs.frozen
class SearcherRow:
    """One start of a searcher, as one control instance heard it.

    Attributes:
        searcher_id: new at each start of the searcher.
        sequence: grows with each announcement of that start.
        slots: requests that it works on at once.
        cold_left_s: how much longer it is slow after its start.
    """

    searcher_id: str
    service: str
    address: str
    data_centre: str
    state: SearcherState
    sequence: int
    slots: int
    cold_left_s: float


@attrs.frozen
class Subscribe:
    """A process asks for rows; an entry again at each change of ``ready``.

    Attributes:
        address: where callers reach it; '' for a control instance.
    """

    name: str
    address: str
    data_centre: str
    ready: bool


@attrs.frozen
class SearcherRows:
    """Rows that changed, or all rows of the sender when ``whole``.

    Attributes:
        number: grows with each message of one sender.
    """

    number: int
    whole: bool
    rows: tuple[SearcherRow, ...]


@attrs.frozen
class RowsTaken:
    """An entry has taken in all ``SearcherRows`` up to ``number``."""

    number: int


@attrs.frozen
class DocumentNumber:
    """The sender has applied the document of this number."""

    number: int


@attrs.frozen
class WantNumbered:
    """Asks for the document, if it is newer than ``known_number``."""

    known_number: int


@attrs.frozen
class NumberedDocument:
    """A document, compressed."""

    number: int
    packed: bytes


@attrs.frozen
class KnownPeers:
    """Where control instances are found.

    Attributes:
        addresses: their peer addresses.
        entries: how many entries the sender has heard lately, gone ones
            included.
    """

    addresses: tuple[str, ...]
    entries: int


@attrs.frozen
class SlowReport:
    """An entry saw late answers, or none, of these searchers; once each."""

    searcher_ids: tuple[str, ...]


@attrs.frozen
class SlowSearchers:
    """These searchers are slow for several entries; avoid them that long."""

    searcher_ids: tuple[str, ...]
    for_s: float


# Inside a process.


@attrs.frozen
class SlowSeen:
    """A send took several times the usual of its route."""

    searcher_id: str


@attrs.frozen
class Announced:
    """A searcher announced itself here.

    Attributes:
        token: echoed in ``AnnouncementTaken``.
    """

    token: object
    row: SearcherRow


@attrs.frozen
class Leaving:
    """A searcher says that it ends; it may serve a little longer."""

    token: object
    searcher_id: str


@attrs.frozen
class AnnouncementTaken:
    """The announcement may be acknowledged now."""

    token: object


@attrs.frozen
class LinkUp:
    """A link to a process of ours works; ``name`` is that process."""

    name: str


@attrs.frozen
class LinkDown:
    """The link to a process of ours is gone."""

    name: str


@attrs.frozen
class SearcherLearnt:
    """An entry's view of a searcher is new or has changed."""

    row: SearcherRow


@attrs.frozen
class DocumentLearnt:
    """A newer document reached this entry."""

    number: int
    packed: bytes


@attrs.frozen
class ReadyChanged:
    """Whether this entry may be given to callers."""

    ready: bool
