"""Status of the group as reported by a member."""

from __future__ import annotations

import random

from greengagemoor.control import election, replication
from greengagemoor.control.commands import Member
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.messages import AppendReply


class TestAlive:
    """A member counts as alive once it has answered this leader.

    Guards against a group shown as whole while one member is not listening
    yet. After a kill of all control instances, two members start first and
    elect a leader. A new leader treats all members as just heard from, so
    that it does not step down at once; the status must not use that.
    """

    def test_not_alive_before_its_first_answer(self):
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
        replication.handle_append_reply(state, reply)
        alive = {row.instance: row.alive for row in decider.status().members}
        assert alive == {"a": True, "b": True, "c": False}
