"""State machine of one control group member, without I/O or a clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control import (
    election,
    joining,
    members,
    operations,
    replication,
    status,
)
from greengagemoor.control import messages as m
from greengagemoor.control.disk_writes import (
    AwaitingSync,
    flush,
    mark_synced,
    release,
)
from greengagemoor.control.join_messages import SeedsChanged
from greengagemoor.control.state import Role, State, Timing

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from greengagemoor.control.status import ControlStatus


class ControlDecider:
    """One member: elections, replication, documents and the ledger.

    Input messages: ``Recovered`` once and first, then ``Received``,
    ``Persisted``, ``PersistFailed`` and ``SeedsChanged``. Output messages:
    ``Send``, ``Persist``, ``DocumentAccepted``, ``NumberedDocumentAccepted``,
    ``EvacuationsAccepted``, ``VersionConfirmed`` and the notices of
    ``notices``. After ``PersistFailed`` it sends nothing more: writes may be
    lost, and only a restart shows which are durable.
    """

    def __init__(
        self,
        member_id: str,
        address: str,
        peers: dict[str, str],
        rng: random.Random,
        timing: Timing | None = None,
        *,
        founders: dict[str, str] | None = None,
    ):
        """Starts outside any group; ``Recovered`` may restore one.

        Args:
            member_id: ``instance#identity`` of the data folder.
            address: peer address of this process.
            peers: addresses of the other control instances in the settings.
            rng: seeded source for election times.
            timing: intervals, or None for the defaults.
            founders: addresses of the other instances configured to found
                a group with this one; None if it may not found one.
        """
        self.state = State(
            instance=member_id.partition("#")[0],
            member_id=member_id,
            address=address,
            peers=peers,
            rng=rng,
            timing=timing or Timing(),
            founders=founders,
        )

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick; the class docstring lists the messages."""
        state = self.state
        state.now = max(now, state.now)
        state.out = []
        for msg in msgs:
            self._receive(msg)
        if state.role is Role.FAILED:
            return []
        election.tick(state)
        joining.tick(state)
        members.tick(state)
        self._run_leader_tick()
        operations.send_results(state)
        members.report_changes(state)
        flush(state)
        self._release(release(state))
        return state.out

    def _run_leader_tick(self) -> None:
        state = self.state
        if state.role is not Role.LEADER:
            return
        if state.broadcast_due or state.now >= state.heartbeat_at:
            replication.broadcast(state)
        operations.answer_confirmed_reads(state)

    def next_wake(self) -> float | None:
        """Returns when a tick is due without a message, None for never."""
        state = self.state
        if state.role is Role.FAILED:
            return None
        if state.role is Role.LEADER:
            return state.now if state.broadcast_due else state.heartbeat_at
        if state.role is Role.IDLE:
            return state.joining.next_request_at
        if state.joining.waiting_since is not None:
            return min(state.joining.next_request_at, state.election_at)
        return state.election_at

    def add_contacts(self, contacts: dict[str, str]) -> None:
        """Adds peer addresses of control instances learnt from gossip.

        Args:
            contacts: addresses by instance.
        """
        joining.add_contacts(self.state, contacts)

    @property
    def is_joining(self) -> bool:
        """Whether this member is asking to join a group."""
        return self.state.joining.waiting_since is not None

    def contacts(self) -> dict[str, str]:
        """Returns peer addresses of control instances, by instance.

        While this member asks to join, those of every instance that may know
        a group; otherwise those of the group's members.
        """
        if self.is_joining:
            return joining.contacts(self.state)
        return {m.instance: m.address for m in self.state.members.values()}

    def _receive(self, msg: object) -> None:
        state = self.state
        if isinstance(msg, m.PersistFailed):
            state.role = Role.FAILED
            state.failure = msg.reason
        if state.role is Role.FAILED:
            return
        if isinstance(msg, m.Received):
            self._record_sender(msg)
            self._receive_payload(msg.sender, msg.payload)
        elif isinstance(msg, m.Persisted):
            self._release(mark_synced(state, msg.op))
            replication.commit_by_quorum(state)
        elif isinstance(msg, m.Recovered):
            self._recover(msg)
        elif isinstance(msg, SeedsChanged):
            joining.replace_peers(state, msg)

    def _record_sender(self, msg: m.Received) -> None:
        """While asking to join, records the address of a sender in a group.

        The message may be addressed to the identity that this instance had
        before it lost its disk. The sender may be the only member this instance
        can reach, as its settings may name only itself and removed machines.
        """
        from_member = type(msg.payload) in _MEMBER_HANDLERS
        if self.is_joining and from_member and msg.address:
            self.add_contacts({msg.sender: msg.address})

    def _receive_payload(self, sender: str, payload: object) -> None:
        state = self.state
        handler = _MEMBER_HANDLERS.get(type(payload))
        if handler is not None:
            # Messages of another group are discarded, as are those for an
            # identity that this instance had before it lost its disk.
            group_accepted = payload.group == state.group or (
                not state.group and isinstance(payload, _ACCEPTED_OUTSIDE)
            )
            if group_accepted and payload.target == state.member_id:
                handler(state, payload)
        elif isinstance(payload, m.OpRequest):
            operations.handle_request(state, sender, payload)
        elif isinstance(payload, m.JoinRequest):
            members.handle_join_request(state, payload)
        elif isinstance(payload, m.JoinReply):
            joining.handle_join_reply(state, sender, payload)

    def _release(self, items: list[AwaitingSync]) -> None:
        for held in items:
            if held.send is not None:
                self.state.out.append(held.send)
            else:
                election.count_own_vote(self.state, held.vote_term)

    def _recover(self, msg: m.Recovered) -> None:
        state = self.state
        if msg.hard is None:
            return
        state.group = msg.hard.group
        state.term = msg.hard.term
        state.voted_for = msg.hard.voted_for
        if not state.group:
            return
        if msg.snapshot is not None:
            replication.restore_snapshot(state, msg.snapshot)
            documents = state.machine.documents
            if documents.version:
                state.out.append(
                    m.DocumentAccepted(documents.version, documents.text)
                )
        replication.emit_numbered_document(state)
        replication.emit_evacuations(state)
        state.log.merge(msg.entries)
        state.set_members("from_disk")
        state.disk.synced_index = state.log.last_index
        state.role = Role.FOLLOWER
        state.started_at = state.now
        election.set_next_election(state)

    def status(self) -> ControlStatus:
        """Returns this member's status for operators."""
        return status.build_control_status(self.state)


_ACCEPTED_OUTSIDE = (m.VoteRequest, m.AppendRequest, m.InstallSnapshot)
"""Messages of any group that a process without one accepts, if they are
addressed to its current identity."""
_MEMBER_HANDLERS: dict[type, Callable[[State, object], None]] = {
    m.VoteRequest: election.handle_vote_request,
    m.VoteReply: election.handle_vote_reply,
    m.AppendRequest: replication.handle_append,
    m.AppendReply: replication.handle_append_reply,
    m.InstallSnapshot: replication.install_snapshot,
}
