"""A group that returns after a kill of all its members."""

from __future__ import annotations

import random

import pytest

from greengagemoor.control.commands import ChangeMembers, LogEntry, Member
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.election import SOON_SHARE
from greengagemoor.control.messages import (
    AppendRequest,
    HardState,
    Persist,
    Persisted,
    Reachable,
    Received,
    Recovered,
    VoteReply,
    VoteRequest,
)
from greengagemoor.control.state import Role


def recovered():
    """A log that names three voters."""
    members = tuple(
        Member(f"{name}#1", name, f"{name}:1", voter=True) for name in "abc"
    )
    entry = LogEntry(1, 1, ChangeMembers(members, time=0.0))
    return Recovered(HardState("g", 1, ""), None, (entry,))


class Returning:
    """Member a of three, just started, under a fake clock."""

    def __init__(self, name="a"):
        self.decider = ControlDecider(
            f"{name}#1", f"{name}:1", {}, random.Random(3)
        )
        self.now = 100.0
        self.step(recovered())

    @property
    def state(self):
        return self.decider.state

    def step(self, *msgs, after=0.0):
        """Ticks; what goes to the disk is synced at once."""
        self.now += after
        out = self.decider.step(self.now, msgs)
        for msg in [m for m in out if isinstance(m, Persist)]:
            out += self.decider.step(self.now, [Persisted(msg.op)])
        return out

    def soon(self):
        """Whether an election is due within the short pause."""
        pause = 2 * SOON_SHARE * self.state.timing.election
        return self.state.election_at <= self.now + pause


def asked(out):
    """Returns the votes asked for."""
    payloads = [getattr(msg, "payload", None) for msg in out]
    return [p for p in payloads if isinstance(p, VoteRequest)]


class TestReachable:
    """Votes are asked for as soon as there is somebody to ask.

    Symptom: after a kill of everything nobody led for 60 ms although all
    members were back and linked. Sequence: they open their folders, their
    links stand 5 ms later. Cause: the first election waited for a time by
    lot that allows for links, and nothing told that they stood.
    """

    def test_votes_are_asked_for_soon(self):
        member = Returning()
        assert not member.soon()
        member.step(Reachable("b"))
        assert member.soon()
        out = member.step(after=2 * SOON_SHARE * member.state.timing.election)
        assert {vote.pre for vote in asked(out)} == {True}

    def test_again_for_each_voter_that_comes(self):
        """The first one may not make a majority yet."""
        member = Returning()
        member.step(Reachable("b"))
        member.step(after=0.05)
        member.step(Reachable("c"))
        assert member.soon()

    @pytest.mark.parametrize("name", ["d", ""])
    def test_not_for_others(self, name):
        member = Returning()
        member.step(Reachable(name))
        assert not member.soon()

    def test_not_where_a_leader_was_heard(self):
        """A link that comes back unseats nobody."""
        member = Returning()
        heartbeat = AppendRequest("g", "b#1", "a#1", 1, 1, 1, (), 1, 1)
        member.step(Received("b", heartbeat))
        member.step(Reachable("c"))
        assert not member.soon()

    def test_members_ask_in_turn(self):
        """Symptom: five members that came back together split their votes.

        Cause: each asked after a pause by lot that was shorter than a vote.
        """
        first, second = Returning("a"), Returning("b")
        first.step(Reachable("b"))
        second.step(Reachable("a"))
        pause = SOON_SHARE * first.state.timing.election
        gap = second.state.election_at - first.state.election_at
        assert gap == pytest.approx(pause)

    def test_vote_under_way_goes_on(self):
        """Begun anew, the answers under way would not count."""
        member = Returning()
        member.step(Reachable("b"))
        member.step(after=0.05)
        grant = VoteReply("g", "b#1", "a#1", 1, 2, granted=True, pre=True)
        member.step(Received("b", grant))
        assert member.state.role is Role.CANDIDATE
        assert not member.state.pre_vote
        due = member.state.election_at
        member.step(Reachable("c"))
        assert member.state.election_at == due
        vote = VoteReply("g", "b#1", "a#1", 2, 2, granted=True, pre=False)
        member.step(Received("b", vote))
        assert member.state.role is Role.LEADER
