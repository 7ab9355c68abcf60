"""Mutants of evacuations, cold searchers and shared queries."""

from __future__ import annotations

from bench.mutant import Mutant

CONTROL = "tests/test_control/test_evacuations.py"
FEED = "tests/test_feed/"
FORWARD = "tests/test_forward/"
PARTS = (FORWARD + "test_parts.py",)

MUTANTS = (
    Mutant(
        "evacuations: a late copy is void",
        "control/evacuation_table.py",
        "command.active != is_active and command.replaces != number",
        "False",
        (CONTROL,),
    ),
    Mutant(
        "evacuations: an order that changes nothing has a number",
        "control/evacuation_table.py",
        "            command.data_centre, number + 1, command.active\n",
        "            command.data_centre,\n"
        "            number + (command.active != is_active),\n"
        "            command.active,\n",
        (CONTROL,),
    ),
    Mutant(
        "evacuations: kept in snapshots",
        "control/replicated_state.py",
        "        parts = (self.numbered, self.evacuations)\n",
        "        parts = (self.numbered,)\n",
        (CONTROL,),
    ),
    Mutant(
        "evacuations: known before an entry serves",
        "feed/view.py",
        "        self._merge_evacuations(reply.evacuations)\n",
        "",
        (FEED + "test_evacuations.py",),
    ),
    Mutant(
        "evacuations: nothing is placed there",
        "forward/selection.py",
        "    if row.data_centre in tables.evacuated:\n",
        "    if False:\n",
        (FORWARD + "test_evacuations.py",),
    ),
    Mutant(
        "cold searchers: a part of the entries",
        "forward/cold_start.py",
        "    return _hash(tables, row) < rate * SEND_GAP_S",
        "    return True",
        (FORWARD + "test_cold_start.py",),
    ),
    Mutant(
        "cold searchers: a pace",
        "forward/cold_start.py",
        "    return tables.now - row.sent_at >= gap",
        "    return True",
        (FORWARD + "test_cold_start.py",),
    ),
    Mutant(
        "parts: unconfirmed, nothing is sent twice",
        "forward/part_receiver.py",
        "        is_confirmed=False,\n",
        "        is_confirmed=True,\n",
        PARTS,
    ),
    Mutant(
        "parts: no third send after a helper's end",
        "forward/delegation.py",
        "        runs = part.request.route.attempts if "
        "part.is_acknowledged else 1\n",
        "        runs = 0\n",
        PARTS,
    ),
    Mutant(
        "parts: who wakes drops what was dropped",
        "forward/part_receiver.py",
        "    if not dropped and not gone:\n",
        "    if True:\n",
        PARTS,
    ),
    Mutant(
        "parts: who is not ready refuses",
        "forward/part_receiver.py",
        "    if not tables.accepts_parts or msg.end_in_s <= 0:\n",
        "    if msg.end_in_s <= 0:\n",
        PARTS,
    ),
    Mutant(
        "parts: dropped with their request",
        "forward/completion.py",
        "    parts.drop_all(tables, request, answered=answered)\n",
        "",
        PARTS,
    ),
    Mutant(
        "parts: ends are told at once",
        "forward/part_reports.py",
        "    if failed or (answered and is_due):\n",
        "    if answered and is_due:\n",
        PARTS,
    ),
    Mutant(
        "parts: second sends are spared",
        "forward/delegation.py",
        "    return budget.share_left(tables.now) >= MIN_BUDGET_SHARE",
        "    return True",
        PARTS,
    ),
)
