"""Distributes the accepted document and the freshness of its version."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from greengagemoor.control.documents import SHARE_LEASE_S
from greengagemoor.document import parse_document
from greengagemoor.errors import DocumentError
from greengagemoor.membership import query_updates
from greengagemoor.membership.messages import (
    DocumentCopy,
    Freshness,
    WantDocument,
)
from greengagemoor.query.messages import ControlReady, DocumentChanged

if TYPE_CHECKING:
    from greengagemoor.control.messages import (
        DocumentAccepted,
        VersionConfirmed,
    )
    from greengagemoor.document import Document
    from greengagemoor.membership.messages import DocumentConfirmed
    from greengagemoor.membership.state import State

MAX_DOCUMENT_BYTES = 64_000_000
"""Largest document accepted from a peer, after decompression."""


def handle_peer_version(
    state: State, sender: str, version: int, fresh: Freshness
) -> None:
    """Records a peer's freshness, and requests its document if newer."""
    _merge_freshness(state, fresh)
    asked_lately = state.now - state.asked_document_at < state.timing.interval
    if version > state.document_version and not asked_lately:
        state.asked_document_at = state.now
        state.send(sender, WantDocument(state.document_version))


def _merge_freshness(state: State, fresh: Freshness) -> None:
    if not fresh.group or fresh.group != (state.fresh.group or fresh.group):
        # From another group: an instance that lost its disk and founded a
        # group of its own must not make its empty history look current.
        return
    known = (state.fresh.term, state.fresh.round)
    if (fresh.term, fresh.round) > known:
        state.fresh = fresh
        state.fresh_at = state.now


def handle_confirmed(state: State, msg: VersionConfirmed) -> None:
    """Records a confirmation from the control role of this instance."""
    term, round_ = msg.stamp
    _merge_freshness(state, Freshness(msg.group, term, round_, msg.version))


def handle_accepted(state: State, msg: DocumentAccepted) -> None:
    """Puts a document from the control group in force."""
    apply_document(state, msg.version, msg.text)


def handle_document_request(
    state: State, sender: str, msg: WantDocument
) -> None:
    """Sends the document to a peer that has an older one."""
    if state.document is not None and (
        msg.known_version < state.document_version
    ):
        copy = DocumentCopy(state.document_version, state.packed_document)
        state.send(sender, copy)


def handle_document_copy(state: State, _: str, msg: DocumentCopy) -> None:
    """Puts a peer's document in force; peers send only accepted ones."""
    if msg.version <= state.document_version:
        return
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(msg.packed, MAX_DOCUMENT_BYTES).decode()
    except (zlib.error, UnicodeDecodeError):
        state.counters.refused += 1
        return
    apply_document(state, msg.version, text)


def apply_document(state: State, version: int, text: str) -> None:
    """Puts a document in force if its version is newer."""
    if version <= state.document_version:
        return
    try:
        document = parse_document(text)
    except DocumentError:
        state.counters.refused += 1
        return
    before, allowed_before = state.document, state.allowed
    state.document = document
    state.document_version = version
    state.packed_document = zlib.compress(text.encode())
    state.allowed = {
        service.name: {s.name: s for s in service.backend_servers}
        for service in document.services
    }
    state.out.append(DocumentChanged(version, document))
    if before is None or _shares_differ(before, document):
        query_updates.reevaluate_all(state)
        return
    for name in sorted(allowed_before.keys() | state.allowed.keys()):
        if allowed_before.get(name) != state.allowed.get(name):
            query_updates.reevaluate_service(state, name)


def _shares_differ(before: Document, after: Document) -> bool:
    return (before.entries, before.connection_places) != (
        after.entries,
        after.connection_places,
    )


def handle_current_read(state: State, msg: DocumentConfirmed) -> None:
    """Puts in force what a quorum confirmed as current after the start."""
    apply_document(state, msg.version, msg.text)
    state.read_version = max(state.read_version, msg.version)
    state.read_at = state.now


def check_freshness(state: State) -> None:
    """Notifies the query decider when control becomes ready or unready.

    Also gives up the connection shares when the share lease has expired: only
    for that long does the control group still count the entries and
    connection_places of a replaced document.
    """
    unconfirmed_s = state.now - max(state.fresh_at, state.read_at)
    may_hold = state.confirmed and unconfirmed_s < SHARE_LEASE_S
    if may_hold != state.may_hold_shares:
        state.may_hold_shares = may_hold
        query_updates.reevaluate_all(state)
    recent = state.now - state.fresh_at < state.timing.control_silent
    ready = recent and state.confirmed
    if ready != state.control_ready:
        state.control_ready = ready
        state.out.append(ControlReady(ready))
