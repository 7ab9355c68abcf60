"""What a member tells of its group."""

from __future__ import annotations

import random

from greengagemoor.control import election, replication
from greengagemoor.control.commands import Member
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.messages import AppendReply


class TestAlive:
    """A member is alive once it has answered this leader.

    Symptom: after a kill of all control instances the group was shown as
    whole while one of them was not listening yet. Sequence: two members start
    first and elect a leader. Cause: a new leader counts all members as heard,
    so that it doesn't step down at once, and showed that as alive.
    """

    def test_not_before_its_first_answer(self):
        decider = ControlDecider("a#1", "a:1", {}, random.Random(1))
        state = decider.state
        state.now = 100.0
        state.group = "g"
        state.members = {
            f"{name}#1": Member(f"{name}#1", name, f"{name}:1", voter=True)
            for name in "abc"
        }
        election._become_leader(state)
        alive = {row.instance: row.alive for row in decider.status().members}
        assert alive == {"a": True, "b": False, "c": False}
        reply = AppendReply("g", "b#1", "a#1", state.term, False, 0, 0, 1)
        replication.take_reply(state, reply)
        alive = {row.instance: row.alive for row in decider.status().members}
        assert alive == {"a": True, "b": True, "c": False}
