"""A hub and a view under a fake clock, with shorthands for messages."""

from __future__ import annotations

import attrs

from greengagemoor.codes import Code
from greengagemoor.control.messages import OpReply, Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.hub import FeedHub
from greengagemoor.feed.messages import SearcherState
from greengagemoor.feed.timing import Timing
from greengagemoor.feed.view import FeedView

ANNOUNCE_S = 1.0
ROW = m.SearcherRow(
    "i1", "s", "10.0.0.1:80", "dc1", SearcherState.READY, 1, 2, 0.0
)
ENTRY = m.Subscribe("e1", "10.0.0.9:80", "dc1", ready=True, capacity=1.0)


def row(**changes):
    return attrs.evolve(ROW, **changes)


class HubBench:
    """Steps a hub under a fake clock.

    Attributes:
        has_disk: whether departures are stored in the step in which they occur.
    """

    def __init__(self, name="", first_number=0):
        self.hub = FeedHub(Timing(ANNOUNCE_S), name, first_number)
        self.now = 0.0
        self.has_disk = True

    def step(self, *msgs, after=0.0):
        self.now += after
        out = self.hub.step(self.now, msgs)
        if self.has_disk and not self.hub.is_stored:
            stored = m.DeparturesStored(self.hub.departures_version)
            out += self.hub.step(self.now, [stored])
        return out

    def subscribe(self, name="e1"):
        msg = attrs.evolve(ENTRY, name=name)
        return self.step(Received(name, msg))


def rows_to(out, name="e1"):
    """Returns the rows sent to an entry."""
    return [
        r
        for msg in out
        if isinstance(msg, Send)
        and msg.to == name
        and isinstance(msg.payload, m.SearcherRows)
        for r in msg.payload.rows
    ]


def acknowledged(out):
    """Returns the tokens of the announcements that may be acknowledged."""
    return [msg.token for msg in out if isinstance(msg, m.AnnouncementAccepted)]


class ViewBench:
    """Steps an entry's view under a fake clock."""

    def __init__(self):
        self.view = FeedView("e1", "10.0.0.9:80", "dc1")
        self.now = 0.0

    def step(self, *msgs, after=0.0):
        self.now += after
        return self.view.step(self.now, msgs)

    def receive(self, payload, sender="c1", **more):
        return self.step(Received(sender, payload), **more)

    def confirm(self, number=1):
        reply = OpReply(1, Code.CURRENT, version=number, packed=b"doc")
        return self.receive(reply)
