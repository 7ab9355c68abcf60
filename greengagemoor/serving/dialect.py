"""Interface to the formats of callers, searchers and operators.

An adapter implements it; the adapter only translates and takes no decisions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.aio.client import Headers, HttpResponse
    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.feed.messages import SearcherRow, Subscribe
    from greengagemoor.forward.messages import Outcome, Respond, SearcherAnswer
    from greengagemoor.routing.accounts import ClientAccount
    from greengagemoor.routing.routes import RouteTable


@values.frozen
class Reply:
    """An HTTP answer of this process."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


@values.frozen
class RequestInfo:
    """Host, id, remaining wait and key of a caller's request.

    Attributes:
        remaining_wait_s: time until the caller gives up, None if it isn't
            given.
        key: identifies the client account; "" if there is none, or more than
            one. Must not be logged.
    """

    host: str
    request_id: str
    remaining_wait_s: float | None
    key: str = attrs.field(default="", repr=False)


@values.frozen
class AttemptResult:
    """Outcome of an attempt, as read from a searcher's answer."""

    outcome: Outcome
    answer: SearcherAnswer | None
    reason: str = ""


@values.frozen
class AnnounceCall:
    """A searcher announces itself."""

    row: SearcherRow


@values.frozen
class LeaveCall:
    """A searcher announces that it ends.

    Attributes:
        start: when it started, in Unix ms of its own clock; None if the call
            doesn't name it.
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
    """An operator evacuates a data centre, or ends its evacuation.

    Attributes:
        active: whether requests are kept from its searchers.
    """

    data_centre: str
    active: bool


@values.frozen
class FindEntriesCall:
    """A caller asks for addresses of entries."""

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
    """Names, formats and calls of one platform.

    Attributes:
        max_entries: maximum number of entries in an answer of the directory.
    """

    max_entries: int

    def read_document(self, text: bytes) -> RouteTable:
        """Decodes a document.

        Raises:
            DocumentError: it can't be read in full.
        """

    def read_request(self, req: HttpRequest) -> RequestInfo:
        """Reads host, id, deadline and key of a caller's request."""

    def set_account(
        self, req: HttpRequest, account: ClientAccount | None
    ) -> None:
        """Removes the key from a request, and adds the account's name."""

    def write_attempt(
        self, req: HttpRequest, searcher_id: str, left_s: float
    ) -> bytes:
        """Returns the bytes of a request to a searcher."""

    def is_answer_to(self, request_id: str, headers: Headers) -> bool:
        """Returns whether an answer with these headers is to this request."""

    def read_answer(self, answer: HttpResponse) -> AttemptResult:
        """Reads a searcher's answer."""

    def write_answer(self, msg: Respond) -> Reply:
        """Returns the final answer to a caller."""

    def write_no_document(self) -> Reply:
        """Answers a request that arrived before any document."""

    def write_no_route(self) -> Reply:
        """Answers a request that no route matches."""

    def write_unauthenticated(self) -> Reply:
        """Answers a request whose key is missing or unknown."""

    def write_ready(self, ready: bool) -> Reply:
        """Answers a readiness check."""

    def read_call(self, req: HttpRequest) -> Call | None:
        """Reads a call to a control instance; None if it is unknown.

        Raises:
            InvalidInputError: the call is malformed.
        """

    def write_announcement_accepted(self, next_address: str) -> Reply:
        """Acknowledges an announcement; later ones go to ``next_address``."""

    def write_announcement_rejected(self) -> Reply:
        """Rejects an announcement; another instance may accept it."""

    def write_put(self, accepted: bool, faults: str = "") -> Reply:
        """Answers a put: accepted, rejected for faults, or not confirmed."""

    def write_evacuated(self, accepted: bool, fault: str = "") -> Reply:
        """Answers an evacuation: accepted, rejected, or not confirmed."""

    def write_document(self, text: bytes | None) -> Reply:
        """Answers a read; None if the document in force isn't confirmed."""

    def write_entries(self, entries: list[Subscribe]) -> Reply:
        """Answers with the addresses of entries."""

    def write_unknown_call(self) -> Reply:
        """Answers an unknown or malformed call."""
