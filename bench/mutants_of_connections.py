"""Mutants of responses to other requests, and of the shutdown."""

from __future__ import annotations

from bench.mutant import Mutant

CLIENT = ("tests/test_aio/test_client.py::TestExtraAnswers",)
SHUTDOWN = ("tests/test_forward/test_shutdown.py",)

MUTANTS = (
    Mutant(
        "responses: the id counts, also without a length",
        "aio/client.py",
        "self._is_match = self._matches_request(self._headers)",
        "self._is_match = True",
        CLIENT,
    ),
    Mutant(
        "responses: nothing is kept of one that is skipped",
        "aio/client.py",
        "            self._pool.skipped_count += 1\n"
        "        self._reset_response()\n",
        "            self._pool.skipped_count += 1\n",
        CLIENT,
    ),
    Mutant(
        "responses: no wait where none can follow",
        "aio/client.py",
        'self._fail("response without a length to another request")',
        "pass",
        CLIENT,
    ),
    Mutant(
        "shutdown: running requests are answered",
        "forward/shutdown.py",
        "        if limit(tables, request):\n",
        "        if False:\n",
        SHUTDOWN,
    ),
    Mutant(
        "shutdown: new requests are answered",
        "forward/arrivals.py",
        "    shutdown.limit(tables, request)\n",
        "",
        SHUTDOWN,
    ),
    Mutant(
        "shutdown: what comes too late is rejected",
        "forward/shutdown.py",
        "    return tables.now + needed_s > tables.ends_at\n",
        "    return False\n",
        SHUTDOWN,
    ),
    Mutant(
        "shutdown: what ends in time is accepted",
        "forward/shutdown.py",
        "    if request.deadline <= tables.ends_at:\n"
        "        return False\n"
        "    needed_s",
        "    needed_s",
        SHUTDOWN,
    ),
    Mutant(
        "shutdown: pipelined requests are answered",
        "aio/connection.py",
        "(bool(self._queue) or not self._limits.closing)",
        "not self._limits.closing",
        ("tests/test_aio/test_server.py::TestEnds",),
    ),
    Mutant(
        "shutdown: the entry waits for its last answers",
        "serving/entry.py",
        "self._ticker.put(ShutdownStarted(self.clock.now() + answers_s))",
        "pass",
        ("tests/test_serving/test_entry.py",),
    ),
    Mutant(
        "shutdown: control instances answer open calls",
        "serving/control.py",
        "await drain(self._servers, timeout_s)",
        "pass",
        ("tests/test_serving/test_control.py::TestStop",),
    ),
)
