"""Announcements and documents with arbitrary content, from any writer."""

from __future__ import annotations

import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from greengagemoor.errors import DocumentError, InvalidInputError
from greengagemoor.feed.messages import SearcherRow, SearcherRows, SearcherState
from greengagemoor.platform.documents import read_document
from greengagemoor.wire import codec
from tests.test_platform.test_adapter import DIALECT, DOCUMENT, request

BEAT = {
    "backend": "s0",
    "address": "10.0.0.1:80",
    "zone": "dc1",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold-left-ms": 500,
    "seq-no": 4,
}
HEARTBEAT = "/v1/instances/i1/heartbeat"
LEAVE = "/v1/instances/i1/leave"
HUGE = 10**30
JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


def read(target, body):
    return DIALECT.read_call(request("POST", target, body=body))


def beat(**changes):
    """Reads an announcement with some fields changed."""
    data = {**BEAT, **{k.replace("_", "-"): v for k, v in changes.items()}}
    return read(HEARTBEAT, json.dumps(data).encode()).row


def check_row(row):
    """Checks that an accepted row is valid and can be sent to others."""
    assert isinstance(row, SearcherRow)
    assert row.state in (SearcherState.READY, SearcherState.DRAINING)
    rows = SearcherRows(1, False, (row,))
    assert codec.decode(codec.encode(rows), SearcherRows) == rows


class TestStart:
    """The start time in a searcher's announcement, a field at the top level."""

    def test_is_read(self):
        assert beat(born=1_790_000_000_123).start == 1_790_000_000_123

    def test_is_optional(self):
        assert beat().start == 0

    @pytest.mark.parametrize(
        "value", [True, 1.0, "5", None, [], {}, -1, HUGE, 1e300]
    )
    def test_must_be_a_non_negative_integer(self, value):
        with pytest.raises(InvalidInputError):
            beat(born=value)

    def test_leave(self):
        assert read(LEAVE, b"").start is None
        assert read(LEAVE, b'{"born": 7}').start == 7
        assert read(LEAVE, b"{}").start is None

    @pytest.mark.parametrize(
        "body", [b'{"born": true}', b"\xff", b"[1]", b"5", b"[" * 100_000]
    )
    def test_unreadable_leave(self, body):
        with pytest.raises(InvalidInputError):
            read(LEAVE, body)


class TestAnnouncements:
    """An announcement with any malformed field is rejected."""

    @pytest.mark.parametrize("name", sorted(BEAT))
    def test_missing_field(self, name):
        data = {key: value for key, value in BEAT.items() if key != name}
        with pytest.raises(InvalidInputError):
            read(HEARTBEAT, json.dumps(data).encode())

    @pytest.mark.parametrize("name", sorted(BEAT))
    @pytest.mark.parametrize(
        "value",
        [None, True, [], {}, ["x"], {"a": 1}, HUGE, -1, "", float("inf")],
    )
    def test_other_type(self, name, value):
        with pytest.raises(InvalidInputError):
            beat(**{name: value})

    @pytest.mark.parametrize("name", ["slots", "seq-no"])
    @pytest.mark.parametrize("value", [1.0, "1", 1.5])
    def test_must_be_an_integer(self, name, value):
        with pytest.raises(InvalidInputError):
            beat(**{name: value})

    @pytest.mark.parametrize("state", ["gone", "lost", "READY", "odd"])
    def test_state_that_searchers_do_not_announce(self, state):
        """*gone* and *lost* are states that only this project assigns."""
        with pytest.raises(InvalidInputError):
            beat(state=state)

    @pytest.mark.parametrize(
        "address",
        [
            "10.0.0.1",
            "host:80",
            "10.0.0.256:80",
            "10.0.0.1:70000",
            "10.0.0.1:80\n",
            "::1:80",
            "10.0.0.\u0661:80",
        ],
    )
    def test_invalid_address(self, address):
        with pytest.raises(InvalidInputError):
            beat(address=address)

    def test_text_that_utf8_cannot_encode(self):
        body = json.dumps({**BEAT, "zone": "\ud800"}).encode()
        with pytest.raises(InvalidInputError):
            read(HEARTBEAT, body)

    @given(st.binary())
    @example(b"[" * 100_000)
    @example(b'{"slots": 1e400}')
    @example(b"NaN")
    def test_any_bytes(self, body):
        with pytest.raises(InvalidInputError):
            read(HEARTBEAT, body)

    @given(st.sampled_from([*sorted(BEAT), "born", "else"]), JSON)
    def test_any_value(self, name, value):
        try:
            row = beat(**{name: value})
        except InvalidInputError:
            return
        check_row(row)


class TestDocuments:
    """A document with any value in any field is decoded or rejected."""

    @pytest.mark.parametrize("value", [b"1e400", b"-1", b"true", b"NaN"])
    def test_invalid_time_limit(self, value):
        text = json.dumps(DOCUMENT).encode().replace(b"600", value)
        with pytest.raises(DocumentError):
            read_document(text)

    @given(
        st.sampled_from(sorted(DOCUMENT["routes"][0]) + ["backend"]),
        JSON,
    )
    def test_any_value_in_a_route(self, name, value):
        route = {**DOCUMENT["routes"][0], name: value}
        data = {**DOCUMENT, "routes": [route]}
        try:
            read_document(json.dumps(data).encode())
        except DocumentError:
            return

    @given(st.sampled_from(["version", "routes", "services", "limits"]), JSON)
    def test_any_value_at_the_top(self, name, value):
        try:
            read_document(json.dumps({**DOCUMENT, name: value}).encode())
        except DocumentError:
            return
