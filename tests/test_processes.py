"""Real processes: kill -9, SIGSTOP and SIGTERM, over loopback."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import time

import pytest

from examples.fleet import EXAMPLES_FOLDER, Fleet, free_addresses, wait_for

SHARDS = {
    "searcher-1": "0,1,2,3",
    "searcher-2": "2,3,4,5",
    "searcher-3": "4,5,0,1",
}
CONTROLS = ("control-1", "control-2", "control-3")
ENTRIES = ("entry-1", "entry-2")


class Site:
    """Three control instances, two entries and three searchers."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        names = (*CONTROLS, *ENTRIES, *SHARDS)
        ports = iter(free_addresses(2 * len(names)))
        self.http = {name: next(ports) for name in names}
        self.peer = {name: next(ports) for name in names}
        group = [
            {"instance": name, "address": self.peer[name]} for name in CONTROLS
        ]
        for name in (*CONTROLS, *ENTRIES):
            is_control = name in CONTROLS
            own = (
                {"roles": ["control"], "new_group": True} if is_control else {}
            )
            if is_control:
                own["data_folder"] = str(fleet.folder / name)
            fleet.start_instance(
                name,
                data_centre=f"dc-{name[-1]}",
                http_address=self.http[name],
                peer_address=self.peer[name],
                control_group=group,
                addresses_valid_s=1.0,
                leave_margin_s=0.5,
                gossip_interval_s=0.2,
                **own,
            )
        wait_for("a whole group", self.group_is_whole)
        document = str(EXAMPLES_FOLDER / "contracts.json")
        applied = fleet.run_ctl(
            "apply", document, "--at", self.http["control-1"]
        )
        assert applied.returncode == 0, applied.stdout + applied.stderr
        for name, shards in SHARDS.items():
            fleet.start_searcher(
                name,
                self.http[name],
                entries=",".join(self.http[e] for e in ENTRIES),
                shards=shards,
            )
        wait_for("ready entries", lambda: all(map(self.is_ready, ENTRIES)))

    def group_is_whole(self) -> bool:
        """Whether a leader reports three live voters."""
        return bool(self.leader(voters=3))

    def leader(self, voters: int = 2) -> str:
        """Returns the leader that reports so many live voters, or ''."""
        for name in CONTROLS:
            status = self.fleet.get_json(self.http[name], "/v1/members") or {}
            alive = [
                m
                for m in status.get("members", ())
                if m["voter"] and m["alive"]
            ]
            if status.get("role") == "leader" and len(alive) >= voters:
                return name
        return ""

    def is_ready(self, entry: str) -> bool:
        """Whether an entry is ready and has received all searchers."""
        status = self.fleet.get_json(self.http[entry], "/v1/status") or {}
        ready = status.get("state") == "ready" and status["control_ready"]
        return ready and len(status["backend_servers"]) == len(SHARDS)

    def behave(self, **fields) -> None:
        """Changes the behaviour of all searchers."""
        for name in SHARDS:
            self.fleet.call_json("POST", self.http[name], "/behaviour", fields)

    def ask(self, entry: str, **fields):
        """Sends a lookup; returns the JSON answer, or None without one."""
        body = {
            "caller": "atlas",
            "request_class": "lookup",
            "request_id": f"r-{time.monotonic_ns()}",
            **fields,
        }
        path = "/v1/services/contracts/requests"
        return self.fleet.call_json("POST", self.http[entry], path, body)

    def book(self, entry: str, request_id: str, **fields):
        """Sends a booking; returns the JSON answer."""
        return self.ask(
            entry,
            request_class="book-crew",
            request_id=request_id,
            repeatable=False,
            key="well-7",
            **fields,
        )

    def runs(self, request_id: str) -> int:
        """Returns how often searchers ran a request."""
        replies = [self.fleet.get_json(self.http[n], "/runs") for n in SHARDS]
        return sum(reply["runs"].get(request_id, 0) for reply in replies)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("site")) as fleet:
        yield Site(fleet)


class Background:
    """Runs a call in a thread and keeps its result."""

    def __init__(self, call, *args, **fields):
        self.result = None
        self._thread = threading.Thread(
            target=self._run, args=(call, args, fields)
        )
        self._thread.start()

    def _run(self, call, args, fields) -> None:
        self.result = call(*args, **fields)

    def wait(self):
        """Returns the result."""
        self._thread.join()
        return self.result


def request_id(name: str) -> str:
    """Returns a request id with the current time."""
    return f"{int(time.time() * 1000)}-{name}"


def is_running(site: Site, wanted: str):
    """Returns a condition: a searcher has started to run the request."""
    return lambda: site.runs(wanted) > 0


class TestShutdown:
    """SIGTERM interrupts no request; kill -9 leaves a correct code."""

    def test_sigterm_finishes_running_requests(self, site):
        """Guards against requests that are interrupted by a restart.

        A slow query and a booking run at an entry that receives SIGTERM; if
        the process exited first, callers would see connection resets.
        """
        site.behave(delay_s=8.0)
        wanted = request_id("term")
        slow = Background(site.ask, "entry-2", deadline_s=14.0, body="slow")
        booking = Background(site.book, "entry-2", wanted, deadline_s=14.0)
        wait_for("the booking to run", is_running(site, wanted))
        site.fleet.signal("entry-2", signal.SIGTERM)
        site.fleet.signal("entry-2", signal.SIGTERM)
        assert slow.wait()["code"] == 100
        assert booking.wait()["code"] == 100
        site.behave(delay_s=0.0)
        held = site.ask("entry-2", body="held address")
        assert held is None or held["code"] in (100, 202)
        process = site.fleet.processes["entry-2"]
        assert process.wait(30) == 0
        found = site.fleet.get_json(
            site.http["entry-1"], "/v1/addresses?service=contracts"
        )
        assert [a["instance"] for a in found["addresses"]] == ["entry-1"]
        again = site.book("entry-1", wanted)
        assert again["code"] == 100
        assert site.runs(wanted) == 1
        site.fleet.restart_instance("entry-2")
        wait_for("entry-2", lambda: site.is_ready("entry-2"))

    def test_killed_entry_leaves_a_correct_code(self, site):
        site.behave(delay_s=1.5)
        wanted = request_id("kill")
        booking = Background(site.book, "entry-2", wanted)
        wait_for("the booking to run", is_running(site, wanted))
        site.fleet.kill("entry-2")
        assert booking.wait() is None
        again = site.book("entry-1", wanted)
        assert again["name"] in ("IN_PROGRESS", "UNKNOWN")
        site.behave(delay_s=0.0)
        lookup = site.ask("entry-1")
        assert lookup["code"] == 100
        assert site.runs(wanted) == 1
        site.fleet.restart_instance("entry-2")
        wait_for("entry-2", lambda: site.is_ready("entry-2"))


class TestControl:
    """Control instances that are killed, frozen or lose their folders."""

    def test_frozen_leader_resumes(self, site):
        """Guards against an accepted document that is reverted.

        The leader is frozen, the others elect a new one and accept a change.
        When the old leader resumes, it must not act as leader.
        """
        document = str(EXAMPLES_FOLDER / "contracts.json")
        frozen = site.leader()
        site.fleet.signal(frozen, signal.SIGSTOP)
        others = [name for name in CONTROLS if name != frozen]
        at = site.http[others[0]]
        wait_for("a new leader", lambda: site.leader() in others)
        applied = site.fleet.run_ctl("apply", document, "--at", at)
        assert applied.returncode == 0, applied.stdout
        site.fleet.signal(frozen, signal.SIGCONT)
        wait_for("a whole group", site.group_is_whole)
        shown = site.fleet.get_json(site.http[frozen], "/v1/document")
        assert shown["version"] == 2

        def in_force() -> bool:
            statuses = [
                site.fleet.get_json(site.http[e], "/v1/status") for e in ENTRIES
            ]
            return all(s["document_version"] == 2 for s in statuses)

        wait_for("the change at every entry", in_force)

    def test_kill_9_of_all_control_instances(self, site):
        version = site.fleet.get_json(site.http["control-1"], "/v1/document")
        for name in CONTROLS:
            site.fleet.kill(name)
        assert site.ask("entry-1")["code"] == 100
        for name in CONTROLS:
            site.fleet.restart_instance(name)
        wait_for("a whole group", site.group_is_whole)
        shown = site.fleet.get_json(site.http["control-2"], "/v1/document")
        assert shown == version

    def test_lost_folder_joins_again_under_a_new_identity(self, site):
        wait_for("a whole group", site.group_is_whole)
        lost = site.leader()
        site.fleet.kill(lost)
        folder = site.fleet.folder / lost
        for file in folder.iterdir():
            file.unlink()
        site.fleet.restart_instance(lost)
        wait_for("a whole group", site.group_is_whole)
        members = site.fleet.run_ctl(
            "members", "--at", site.http[site.leader()]
        )
        assert members.stdout.count(f'"{lost}"') == 1
        assert '"spare": 1' in members.stdout

    def test_two_processes_on_one_folder(self, site):
        settings = site.fleet.folder / "control-1.json"
        second = subprocess.run(
            [sys.executable, "-m", "greengagemoor.cmd.daemon", str(settings)],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert second.returncode == 3
        assert "in use by another process" in second.stderr


class TestSignals:
    """Signals in a burst."""

    def test_many_sigterms_end_it_in_order(self, tmp_path):
        """Guards against a process that hangs on SIGTERM.

        A second SIGTERM arrives while the first is handled. A handler that
        sets an event would then wait for the event's lock, which the
        interrupted handler holds.
        """
        http, peer = free_addresses(2)
        with Fleet(tmp_path) as fleet:
            fleet.start_instance(
                "c1",
                roles=["control"],
                data_centre="dc-1",
                http_address=http,
                peer_address=peer,
                data_folder=str(tmp_path / "data"),
                control_group=[{"instance": "c1", "address": peer}],
                new_group=True,
            )
            wait_for("c1", lambda: fleet.get_json(http, "/v1/members"))
            process = fleet.processes["c1"]
            for _ in range(3000):
                process.send_signal(signal.SIGTERM)
            assert process.wait(30) == 0
