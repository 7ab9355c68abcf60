"""Requests that came before an entry could serve any."""

from __future__ import annotations

from greengagemoor.serving.early import LONGEST_S, MOST, EarlyRequests


def held(early):
    """Returns the requests that wait, by taking them."""
    return [waiting.req for waiting in early.take_all()]


class TestEarly:
    """Held for a moment, in order, never for long.

    Symptom: after a kill of everything, 96 callers were refused in the 0.4 s
    between listening and the first document, each with its last attempt.
    """

    def test_served_in_order_once_ready(self):
        early = EarlyRequests()
        early.add(1.0, "a", None, 2.0)
        early.add(1.1, "b", None, 2.0)
        assert held(early) == ["a", "b"]
        assert held(early) == []

    def test_refused_with_patience_left(self):
        early = EarlyRequests()
        early.add(1.0, "short", None, 0.3)
        early.add(1.0, "long", None, 5.0)
        assert early.next_wake() == 1.12
        assert [w.req for w in early.take_expired(1.2)] == ["short"]
        assert [w.req for w in early.take_expired(1.0 + LONGEST_S)] == ["long"]

    def test_gone_caller_is_forgotten(self):
        early = EarlyRequests()
        early.add(1.0, "a", None, None)
        early.remove("a")
        assert held(early) == []

    def test_bounded(self):
        early = EarlyRequests()
        for i in range(MOST):
            early.add(1.0, i, None, None)
        assert early.is_full
