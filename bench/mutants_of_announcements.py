"""Mutants of operators' orders, and of searchers' drains and leaves."""

from __future__ import annotations

from bench.mutant import Mutant

ORDERS = (
    "tests/test_serving/test_abandoned_orders.py",
    "tests/test_serving/test_operators.py",
)
WATCH = ("tests/test_aio/test_loop_watch.py",)
COMMANDS = ("tests/test_control/test_evacuations.py",)
DEPARTURES = ("tests/test_feed/test_departures.py",)
ADDRESSES = ("tests/test_feed/test_reused_addresses.py",)
ACKNOWLEDGED = ("tests/test_serving/test_acknowledged.py",)

MUTANTS = (
    Mutant(
        "orders: none whose caller has disconnected",
        "serving/pending_orders.py",
        "            timer.cancel()\n",
        "",
        ORDERS,
    ),
    Mutant(
        "orders: none that may be old",
        "serving/pending_orders.py",
        "if age_s <= MAX_AGE_S:",
        "if True:",
        ORDERS,
    ),
    Mutant(
        "orders: none read before a suspension",
        "serving/pending_orders.py",
        "            if not self._redirect_if_old(req):\n"
        "                carry_out(_sent_after(req))",
        "            carry_out(_sent_after(req))",
        ORDERS,
    ),
    Mutant(
        "orders: a handshake that was delayed counts",
        "serving/pending_orders.py",
        "established_after - req.conn.handshake_s",
        "established_after",
        ORDERS,
    ),
    Mutant(
        "orders: time limit from when it was sent",
        "serving/operators.py",
        "deadline = sent_after + OPERATION_TIMEOUT_S",
        "deadline = self._now() + OPERATION_TIMEOUT_S",
        ORDERS,
    ),
    Mutant(
        "orders: connections that waited are old",
        "aio/loop_watch.py",
        "ACCEPT_TURNS = 4",
        "ACCEPT_TURNS = 0",
        WATCH,
    ),
    Mutant(
        "orders: time goes on while the machine is suspended",
        "shell/clock.py",
        "time.clock_gettime(time.CLOCK_BOOTTIME)",
        "time.monotonic()",
        ("tests/test_serving/test_operations.py",),
    ),
    Mutant(
        "orders: none resubmitted for nobody",
        "control/client.py",
        "if request.token == token and request.kind is OpKind.EVACUATE:",
        "if False:",
        COMMANDS,
    ),
    Mutant(
        "departures: the own disk counts once it has stored them",
        "feed/acknowledgements.py",
        "own = self._departures.stored_version >= ack.departures",
        "own = True",
        DEPARTURES + ACKNOWLEDGED,
    ),
    Mutant(
        "departures: a majority stores them",
        "feed/acknowledgements.py",
        "return copies > len(members) // 2",
        "return copies > 0",
        DEPARTURES,
    ),
    Mutant(
        "departures: not acknowledged by time alone",
        "feed/acknowledgements.py",
        "if is_stored and (ack.number <= taken or is_late):",
        "if is_late or (is_stored and ack.number <= taken):",
        DEPARTURES,
    ),
    Mutant(
        "departures: confirmed to others once stored",
        "feed/departures.py",
        "        if self.is_stored:\n",
        "        if True:\n",
        DEPARTURES,
    ),
    Mutant(
        "departures: a write does not confirm later ones",
        "feed/departures.py",
        "            if needed <= self.stored_version:\n",
        "            if True:\n",
        DEPARTURES,
    ),
    Mutant(
        "departures: sent to others after a restart",
        "feed/hub.py",
        "        self._departures.restore(now, rows)\n"
        "        self._own_rows.restore(now, rows)\n",
        "        self._departures.restore(now, rows)\n",
        DEPARTURES,
    ),
    Mutant(
        "departures: a repeated drain waits as well",
        "feed/hub.py",
        "        if is_changed or departs:\n",
        "        if is_changed:\n",
        DEPARTURES,
    ),
    Mutant(
        "departures: outside a group none is acknowledged",
        "feed/hub.py",
        "bool(self._subscribers.entries()) and not departs",
        "bool(self._subscribers.entries())",
        DEPARTURES,
    ),
    Mutant(
        "departures: a failed write is repeated",
        "serving/hub_storage.py",
        "                await asyncio.sleep(RETRY_S)\n"
        "                self._departures_due.set()\n",
        "                await asyncio.sleep(RETRY_S)\n",
        ("tests/test_serving/test_durable_state.py",),
    ),
    Mutant(
        "addresses: a displaced searcher is not gone",
        "feed/announced.py",
        "self._set_state(holder, SearcherState.LOST)",
        "self._set_state(holder, SearcherState.GONE)",
        ADDRESSES,
    ),
    Mutant(
        "addresses: an earlier start waits",
        "feed/announced.py",
        "row.start < holder.start\n",
        "False\n",
        ADDRESSES,
    ),
    Mutant(
        "addresses: a displaced searcher waits",
        "feed/announced.py",
        "    if is_same_start and known.is_displaced:\n",
        "    if False:\n",
        (*ADDRESSES, "tests/test_feed/test_hub.py"),
    ),
    Mutant(
        "addresses: the silence of a draining holder counts",
        "feed/announced.py",
        "return not is_silent and not tracked.row.state.has_ended",
        "return not tracked.row.state.has_ended",
        ADDRESSES,
    ),
    Mutant(
        "addresses: another instance's lost row is contradicted",
        "feed/hub.py",
        "            self._own_rows.contradict(payload.rows)\n",
        "",
        ADDRESSES,
    ),
    Mutant(
        "quarantine: cleared once stored",
        "serving/quarantine.py",
        "if done and storing.exception() is None and storing.result():",
        "if True:",
        ("tests/test_serving/test_quarantine.py",),
    ),
)
