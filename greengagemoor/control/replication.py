"""Replicates the log, commits by quorum, applies entries, takes snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control import election
from greengagemoor.control.commands import Snapshot
from greengagemoor.control.disk_writes import mark_replaced
from greengagemoor.control.log import Log
from greengagemoor.control.messages import (
    AppendReply,
    AppendRequest,
    DocumentAccepted,
    EvacuationsAccepted,
    InstallSnapshot,
    NumberedDocumentAccepted,
)
from greengagemoor.control.state import Applied, Role

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagemoor.control.commands import LogEntry
    from greengagemoor.control.state import Progress, State

MIN_SNAPSHOT_INTERVAL = 1000
"""Least number of applied entries between two snapshots."""
ENTRIES_KEPT_BEFORE_SNAPSHOT = 200
"""Entries kept before a snapshot: members slightly behind need no snapshot."""


def broadcast(state: State) -> None:
    """Sends new entries or a heartbeat to every other member."""
    state.round += 1
    state.heartbeat_at = state.now + state.timing.heartbeat
    state.broadcast_due = False
    for member_id, progress in state.progress.items():
        _send(state, member_id, progress)


def _send(state: State, member_id: str, progress: Progress) -> None:
    if progress.next_index < state.log.first_index:
        _send_snapshot(state, member_id, progress)
        return
    entries = state.log.slice_for_append(progress.next_index)
    prev_index = progress.next_index - 1
    request = AppendRequest(
        group=state.group,
        source=state.member_id,
        target=member_id,
        term=state.term,
        prev_index=prev_index,
        prev_term=state.log.term_at(prev_index) or 0,
        entries=entries,
        commit=state.commit,
        round=state.round,
    )
    progress.next_index += len(entries)
    state.send(member_id, request)


def _send_snapshot(state: State, member_id: str, progress: Progress) -> None:
    """Sends the snapshot, at most once per election time to each member."""
    # The pause gives the member time to install it.
    if state.now - progress.snapshot_sent_at < state.timing.election:
        return
    progress.snapshot_sent_at = state.now
    request = InstallSnapshot(
        group=state.group,
        source=state.member_id,
        target=member_id,
        term=state.term,
        snapshot=state.snapshot,
        round=state.round,
    )
    state.send(member_id, request)


def handle_append(state: State, msg: AppendRequest) -> None:
    """Stores a leader's entries and acknowledges them once synced."""
    if msg.term < state.term:
        _reply(state, msg, ok=False, match_index=0)
        return
    matches = _matches(state, msg.prev_index, msg.prev_term)
    _follow(state, msg, adopt_group=matches)
    if not matches:
        agreed = _highest_possible_match(state, msg.prev_index)
        _reply(state, msg, ok=False, match_index=agreed)
        return
    new = state.log.merge(msg.entries)
    if new:
        mark_replaced(state, new[0].index)
        state.disk.entries.extend(new)
        state.set_members("from_leader")
    match_index = msg.prev_index + len(msg.entries)
    advance_commit(state, min(msg.commit, match_index))
    _reply(state, msg, ok=True, match_index=match_index)


def _follow(
    state: State, msg: AppendRequest | InstallSnapshot, *, adopt_group: bool
) -> None:
    """Follows a leader, and joins its group if ``adopt_group`` is set.

    It is set once this log holds the group's member list. A process in a group
    whose list it lacks could neither start an election nor help to found
    another group.
    """
    if adopt_group and not state.group:
        state.group = msg.group
        state.disk.hard_state_changed = True
    election.become_follower(state, msg.term, msg.source)
    state.last_leader_contact_at = state.now
    state.reset_election()


def _matches(state: State, index: int, term: int) -> bool:
    # Entries covered by a snapshot are committed, so they match in every log.
    if index < state.log.first_index - 1:
        return True
    return state.log.term_at(index) == term


def _highest_possible_match(state: State, index: int) -> int:
    """Returns the highest index that may match a log that differs at ``index``.

    Skips all entries of the conflicting term, as a member that led during a
    network partition may hold many. Committed entries always match.
    """
    term = state.log.term_at(index)
    agreed = min(index - 1, state.log.last_index)
    while agreed > state.commit and state.log.term_at(agreed) == term:
        agreed -= 1
    return max(agreed, state.commit)


def _reply(
    state: State,
    msg: AppendRequest | InstallSnapshot,
    *,
    ok: bool,
    match_index: int,
) -> None:
    reply = AppendReply(
        group=msg.group,
        source=state.member_id,
        target=msg.source,
        term=state.term,
        ok=ok,
        match_index=match_index,
        last_index=state.log.last_index,
        round=msg.round,
    )
    state.send_after_sync(msg.source, reply)


def install_snapshot(state: State, msg: InstallSnapshot) -> None:
    """Installs the leader's snapshot, unless this state is as recent."""
    if msg.term < state.term:
        _reply(state, msg, ok=False, match_index=0)
        return
    _follow(state, msg, adopt_group=True)
    snapshot = msg.snapshot
    if snapshot.index > state.commit:
        restore_snapshot(state, snapshot)
        mark_replaced(state, snapshot.index + 1)
        state.disk.snapshot = snapshot
        _announce_document(state)
        emit_numbered_document(state)
        emit_evacuations(state)
    _reply(state, msg, ok=True, match_index=snapshot.index)


def restore_snapshot(state: State, snapshot: Snapshot) -> None:
    """Sets log and state machine to a snapshot."""
    state.snapshot = snapshot
    state.log = Log(snapshot.index, snapshot.term, snapshot.members)
    state.commit = snapshot.index
    state.applied = snapshot.index
    state.machine.load(snapshot.data)
    state.set_members("from_snapshot")


def handle_append_reply(state: State, msg: AppendReply) -> None:
    """Updates a member's progress from its acknowledgement."""
    if msg.term > state.term:
        election.become_follower(state, msg.term)
        return
    progress = state.progress.get(msg.source)
    if state.role is not Role.LEADER or progress is None:
        return
    if msg.term < state.term:
        return
    progress.last_ack = state.now
    progress.answered = True
    progress.acked_round = max(progress.acked_round, msg.round)
    if not msg.ok:
        # Not ``next_index - 1``: each send moves ``next_index`` forward again,
        # so the same entries would be sent and rejected for ever.
        agreed = max(progress.match_index, msg.match_index)
        progress.next_index = min(progress.next_index, agreed + 1)
        state.broadcast_due = True
        return
    progress.match_index = max(progress.match_index, msg.match_index)
    progress.next_index = max(progress.next_index, msg.match_index + 1)
    if progress.next_index <= state.log.last_index:
        state.broadcast_due = True
    commit_by_quorum(state)


def commit_by_quorum(state: State) -> None:
    """Commits entries of this term that a majority of voters has synced."""
    if state.role is not Role.LEADER:
        return
    matches = sorted(_voter_match_indexes(state), reverse=True)
    if not matches:
        return
    index = matches[len(matches) // 2]
    if index > state.commit and state.log.term_at(index) == state.term:
        advance_commit(state, index)
        state.broadcast_due = True


def _voter_match_indexes(state: State) -> Iterator[int]:
    for voter in state.voters:
        if voter == state.member_id:
            yield min(state.disk.synced_index, state.log.last_index)
        else:
            yield state.progress[voter].match_index


def advance_commit(state: State, commit: int) -> None:
    """Applies entries up to the new commit index."""
    if commit <= state.commit:
        return
    state.commit = commit
    while state.applied < state.commit:
        entry = state.log.get(state.applied + 1)
        _apply(state, entry)
    _snapshot_when_due(state)


def _apply(state: State, entry: LogEntry) -> None:
    before = state.machine.documents.version
    numbered = state.machine.numbered.number
    evacuations = state.machine.evacuations.rows()
    result = state.machine.apply(entry.command)
    state.applied = entry.index
    if state.machine.documents.version != before:
        _announce_document(state)
    if state.machine.numbered.number != numbered:
        emit_numbered_document(state)
    if state.machine.evacuations.rows() != evacuations:
        emit_evacuations(state)
    if entry.index in state.pending:
        state.results.append(Applied(entry, result))


def _announce_document(state: State) -> None:
    documents = state.machine.documents
    if documents.version:
        state.out.append(DocumentAccepted(documents.version, documents.text))


def emit_numbered_document(state: State) -> None:
    """Emits the numbered document within this process, if there is one."""
    numbered = state.machine.numbered
    if numbered.number:
        state.out.append(
            NumberedDocumentAccepted(numbered.number, numbered.packed)
        )


def emit_evacuations(state: State) -> None:
    """Emits the evacuations within this process, if there are any rows."""
    rows = state.machine.evacuations.rows()
    if rows:
        state.out.append(EvacuationsAccepted(rows))


def _snapshot_when_due(state: State) -> None:
    """Takes a snapshot to bound the log, the data folder and restart time.

    A snapshot takes time in proportion to the state, so the interval grows with
    the ledger: the cost per entry stays constant.
    """
    snapshot_index = state.snapshot.index if state.snapshot else 0
    interval = max(MIN_SNAPSHOT_INTERVAL, len(state.machine.ledger))
    if state.applied - snapshot_index < interval:
        return
    state.snapshot = Snapshot(
        index=state.applied,
        term=state.log.term_at(state.applied) or 0,
        members=state.log.members_at(state.applied),
        data=state.machine.save(),
    )
    state.disk.snapshot = state.snapshot
    state.log.trim(state.applied - ENTRIES_KEPT_BEFORE_SNAPSHOT)
