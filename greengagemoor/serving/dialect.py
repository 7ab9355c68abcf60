"""What an event-loop process needs to speak with callers and searchers.

An adapter implements these; it translates and decides nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.aio.client import Headers, HttpAnswer
    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.feed.messages import SearcherRow, Subscribe
    from greengagemoor.forward.messages import Outcome, Respond, SearcherAnswer
    from greengagemoor.routing.routes import RouteTable


@values.frozen
class Reply:
    """An HTTP answer of ours."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


@values.frozen
class CallerWords:
    """What a caller's request says of itself.

    Attributes:
        account: the client account, "" where requests name none.
    """

    host: str
    request_id: str
    patience_s: float | None
    account: str = ""


@values.frozen
class SearcherWords:
    """What a searcher's answer says."""

    outcome: Outcome
    answer: SearcherAnswer | None
    reason: str = ""


@values.frozen
class AnnounceCall:
    """A searcher announces itself."""

    row: SearcherRow


@values.frozen
class LeaveCall:
    """A searcher ends.

    Attributes:
        start: which start of it says so; None if it doesn't say.
    """

    searcher_id: str
    start: int | None = None


@values.frozen
class PutCall:
    """An operator puts a document."""

    body: bytes


@values.frozen
class ReadCall:
    """An operator reads the document in force."""


@values.frozen
class EvacuateCall:
    """An operator evacuates a data centre, or takes that back.

    Attributes:
        active: whether its searchers are to get nothing.
    """

    data_centre: str
    active: bool


@values.frozen
class FindEntriesCall:
    """A caller asks where to connect."""

    data_centre: str


Call = (
    AnnounceCall
    | LeaveCall
    | PutCall
    | ReadCall
    | EvacuateCall
    | FindEntriesCall
)


class Dialect(Protocol):
    """Names, formats and calls of one deployment's world."""

    def read_document(self, text: bytes) -> RouteTable:
        """Decodes a document.

        Raises:
            DocumentError: it can't be read in full.
        """

    def read_request(self, req: HttpRequest) -> CallerWords:
        """Reads what a request says of itself."""

    def write_attempt(
        self, req: HttpRequest, searcher_id: str, left_s: float
    ) -> bytes:
        """Returns the bytes of a request to a searcher."""

    def is_answer_to(self, request_id: str, headers: Headers) -> bool:
        """Tells by its headers whether an answer is to this request."""

    def read_answer(self, answer: HttpAnswer) -> SearcherWords:
        """Reads a searcher's answer."""

    def write_answer(self, msg: Respond) -> Reply:
        """Returns the final answer to a caller."""

    def write_no_document(self) -> Reply:
        """Answers a request that came before any document."""

    def write_no_route(self) -> Reply:
        """Answers a request that no route allows."""

    def write_ready(self, ready: bool) -> Reply:
        """Answers whether this process may be given to callers."""

    def read_call(self, req: HttpRequest) -> Call | None:
        """Reads a call to a control instance; None if there is none such.

        Raises:
            InvalidInputError: the call is malformed.
        """

    def write_announced(self, again_at: str) -> Reply:
        """Acknowledges an announcement; later ones go to ``again_at``."""

    def write_unheard(self) -> Reply:
        """Refuses an announcement here; other instances may take it."""

    def write_put(self, accepted: bool, faults: str = "") -> Reply:
        """Answers a put: accepted, or refused for its faults, or unknown."""

    def write_evacuated(self, accepted: bool, fault: str = "") -> Reply:
        """Answers an evacuation: accepted, refused for a fault, or unknown."""

    def write_document(self, text: bytes | None) -> Reply:
        """Answers a read; None if it isn't sure what is in force."""

    def write_entries(self, entries: list[Subscribe]) -> Reply:
        """Answers where to connect."""

    def write_unknown_call(self) -> Reply:
        """Answers a call that doesn't exist or is malformed."""
