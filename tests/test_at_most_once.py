"""Requests that are not repeatable run at most once, with correct outcomes."""

from __future__ import annotations

from collections import Counter

import pytest

from greengagemoor.claims import CLAIM_VALID_S
from greengagemoor.codes import Code
from greengagemoor.control.messages import OpKind, OpRequest, Send
from greengagemoor.membership.messages import Announce
from greengagemoor.query.messages import Reply, Request, StartAttempt
from tests.fakes import answer_to, server
from tests.test_node import start_fleet

ENTRIES = ("e1", "e2")
GROUP = ("c1", "c2", "c3")


class Bookings:
    """A fleet whose searchers count the runs of each booking."""

    def __init__(self, work_s: float = 0.05):
        self.fleet = start_fleet(ENTRIES, GROUP)
        self.runs: Counter[str] = Counter()
        self.work_s = work_s
        self.renewal = 0
        for name in "abc":
            self.fleet.searchers[name] = self._serve
        self.renew()
        self.fleet.run(3.0)
        self.renew()
        self.tokens = 0

    def _serve(self, msg: StartAttempt):
        self.runs[msg.request_id] += 1
        return self.work_s, answer_to(msg)

    def renew(self) -> None:
        """Makes the searchers renew their announcements."""
        self.renewal += 1
        for entry in ENTRIES:
            for name in "abc":
                if entry in self.fleet.nodes:
                    row = server(name, announced_to=ENTRIES)
                    self.fleet.put(entry, Announce(90, row, self.renewal))

    def book(self, entry: str, request_id: str = "", deadline=3.0) -> int:
        """Sends a booking; returns its token."""
        self.tokens += 1
        request = Request(
            token=self.tokens,
            caller="atlas",
            request_class="book",
            request_id=request_id or f"{int(self.fleet.now * 1000)}-x",
            service="s",
            deadline_s=deadline,
            repeatable=False,
            key="well-7",
        )
        self.fleet.put(entry, request)
        return self.tokens

    def run(self, seconds: float) -> None:
        """Runs the fleet, renewing announcements every second."""
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.renew()
            self.fleet.run(min(1.0, until - self.fleet.now))

    def code(self, token: int) -> Code | None:
        """Returns the code of a booking's answer, None without an answer."""
        codes = [
            r.answer.code for r in self.fleet.replies(Reply) if r.token == token
        ]
        assert len(codes) <= 1
        return codes[0] if codes else None


@pytest.fixture
def bookings():
    return Bookings()


REQUEST = "3000-pump"


class TestResend:
    """A resend gets the outcome of the first run and never runs again."""

    def test_through_any_entry(self, bookings):
        """Guards against a booking that runs twice.

        The reply is lost, and the caller resends the request to another
        entry, which has no record of the first send of its own.
        """
        first = bookings.book("e1", REQUEST)
        bookings.run(1.0)
        again = bookings.book("e2", REQUEST)
        bookings.run(1.0)
        assert bookings.code(first) == bookings.code(again) == Code.WHOLE
        assert bookings.runs == {REQUEST: 1}

    def test_while_the_first_is_running(self):
        bookings = Bookings(work_s=1.5)
        first = bookings.book("e1", REQUEST)
        bookings.run(0.5)
        again = bookings.book("e2", REQUEST)
        bookings.run(0.5)
        assert bookings.code(again) == Code.IN_PROGRESS
        bookings.run(2.0)
        assert bookings.code(first) == Code.WHOLE
        assert bookings.runs == {REQUEST: 1}

    def test_sent_through_both_entries_at_once(self, bookings):
        tokens = [bookings.book(entry, REQUEST) for entry in ENTRIES]
        bookings.run(2.0)
        codes = {bookings.code(token) for token in tokens}
        assert codes == {Code.WHOLE, Code.IN_PROGRESS}
        assert bookings.runs == {REQUEST: 1}

    def test_older_than_the_window(self, bookings):
        bookings.fleet.now += 4000
        bookings.run(10.0)
        token = bookings.book("e1", REQUEST)
        bookings.run(1.0)
        assert bookings.code(token) == Code.UNKNOWN_EXPIRED
        assert not bookings.runs

    def test_id_without_a_time_is_refused(self, bookings):
        token = bookings.book("e1", "no-time")
        bookings.run(0.1)
        assert bookings.code(token) == Code.NOT_RUN_BAD_REQUEST


class TestKilledEntry:
    """An entry or leader is killed between claim and outcome."""

    def _run_until_sent(self, bookings, is_wanted) -> None:
        sent = len(bookings.fleet.out)

        def was_sent():
            return any(
                is_wanted(msg) for _, _, msg in bookings.fleet.out[sent:]
            )

        while not was_sent():
            bookings.fleet.run(0.0005)

    def _is_claim(self, msg) -> bool:
        return (
            isinstance(msg, Send)
            and isinstance(msg.payload, OpRequest)
            and msg.payload.kind is OpKind.CLAIM
        )

    def test_between_claim_and_send(self, bookings):
        bookings.book("e1", REQUEST)
        self._run_until_sent(bookings, self._is_claim)
        bookings.fleet.kill("e1")
        bookings.run(0.5)
        early = bookings.book("e2", REQUEST)
        bookings.run(1.0)
        assert bookings.code(early) == Code.IN_PROGRESS
        bookings.run(CLAIM_VALID_S + 2)
        late = bookings.book("e2", REQUEST)
        bookings.run(1.0)
        assert bookings.code(late) == Code.UNKNOWN
        assert not bookings.runs

    def test_between_send_and_outcome(self, bookings):
        bookings.book("e1", REQUEST)
        self._run_until_sent(
            bookings, lambda msg: isinstance(msg, StartAttempt)
        )
        bookings.fleet.kill("e1")
        bookings.run(CLAIM_VALID_S + 2)
        again = bookings.book("e2", REQUEST)
        bookings.run(1.0)
        assert bookings.code(again) == Code.UNKNOWN
        assert bookings.runs == {REQUEST: 1}

    def test_leader_dies_between_claim_and_outcome(self, bookings):
        first = bookings.book("e1", REQUEST)
        self._run_until_sent(
            bookings, lambda msg: isinstance(msg, StartAttempt)
        )
        bookings.fleet.kill(bookings.fleet.leader())
        bookings.run(6.0)
        again = bookings.book("e2", REQUEST)
        bookings.run(2.0)
        assert bookings.code(first) == bookings.code(again) == Code.WHOLE
        assert bookings.runs == {REQUEST: 1}


class TestFrozenEntry:
    """An entry that is frozen until its claim has expired does not send."""

    def test_resumes_after_its_claim_expired(self, bookings):
        """Guards against a booking that runs after it was reported unknown.

        The claim is granted while the entry is frozen; the entry receives the
        grant only after the claim has expired and must not send.
        """
        token = bookings.book("e1", REQUEST, deadline=600.0)
        bookings.fleet.run(0.0015)
        bookings.fleet.freeze("e1")
        bookings.run(CLAIM_VALID_S + 5)
        again = bookings.book("e2", REQUEST)
        bookings.run(1.0)
        assert bookings.code(again) == Code.UNKNOWN
        bookings.fleet.thaw("e1")
        bookings.run(2.0)
        assert not bookings.runs
        assert bookings.code(token) != Code.WHOLE


class TestWithoutQuorum:
    """A request whose claim can't be confirmed is not sent."""

    def test_partitioned_entry_does_not_run_it(self, bookings):
        bookings.fleet.cut_off("e1")
        token = bookings.book("e1", REQUEST)
        bookings.run(2.5)
        assert bookings.code(token) == Code.NOT_RUN_NO_CONTROL
        assert not bookings.runs
