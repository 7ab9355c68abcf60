"""Daemons of two builds in one group, with the same settings and disks."""

from __future__ import annotations

import contextlib
import json
import tempfile
from pathlib import Path

from examples.fleet import EXAMPLES_FOLDER, Fleet, free_addresses, wait_for

CONTROLS = ("control-1", "control-2", "control-3")
ENTRIES = ("entry-1", "entry-2")
SHARDS = {
    "searcher-1": "0,1,2,3",
    "searcher-2": "2,3,4,5",
    "searcher-3": "4,5,0,1",
}
CODE_WHOLE = 100
"""Result code of an answer with full coverage."""
STAGES = (("old",), ("old", "new"), ("new", "old"), ("new",), ("old",))
"""Builds assigned in turn to the instances, for each stage."""


class Daemons:
    """Three control instances, two entries and three stand-in searchers."""

    def __init__(self, fleet: Fleet, builds: dict[str, Path]):
        self.violations: list[str] = []
        self._fleet = fleet
        self._builds = builds
        names = (*CONTROLS, *ENTRIES, *SHARDS)
        ports = iter(free_addresses(2 * len(names)))
        self._http = {name: next(ports) for name in names}
        self._peer = {name: next(ports) for name in names}
        self._version = 0

    def run_stages(self) -> None:
        """Runs all stages with the same disks and settings."""
        for number, names in enumerate(STAGES):
            self._start(names, first=number == 0)
            if number == 0:
                self._start_searchers()
            self._check_document()
            self._apply(names[-1])
            self._check_requests(names)
            for name in (*CONTROLS, *ENTRIES):
                self._fleet.kill(name)

    def _start(self, names: tuple[str, ...], *, first: bool) -> None:
        for number, name in enumerate((*CONTROLS, *ENTRIES)):
            build = self._builds[names[number % len(names)]]
            with contextlib.chdir(build):
                if first:
                    self._fleet.start_instance(name, **self._settings(name))
                else:
                    self._fleet.restart_instance(name)

    def _settings(self, name: str) -> dict:
        settings = {
            "data_centre": f"dc-{name[-1]}",
            "http_address": self._http[name],
            "peer_address": self._peer[name],
            "control_group": [
                {"instance": control, "address": self._peer[control]}
                for control in CONTROLS
            ],
            "addresses_valid_s": 1.0,
            "leave_margin_s": 0.5,
            "gossip_interval_s": 0.2,
        }
        if name in CONTROLS:
            settings["roles"] = ["control"]
            settings["new_group"] = True
            settings["data_folder"] = str(self._fleet.folder / name)
        return settings

    def _start_searchers(self) -> None:
        entries = ",".join(self._http[name] for name in ENTRIES)
        for name, shards in SHARDS.items():
            self._fleet.start_searcher(
                name, self._http[name], entries=entries, shards=shards
            )

    def _leader(self) -> str:
        for name in CONTROLS:
            status = self._fleet.get_json(self._http[name], "/v1/members") or {}
            if status.get("role") == "leader":
                return name
        return ""

    def _check_document(self) -> None:
        shown = self._ctl("show")
        version = shown.get("version", 0)
        if version != self._version:
            self.violations.append(
                f"document version is {version}, expected {self._version}"
            )

    def _apply(self, build: str) -> None:
        """Applies a document with the ``greengagemoorctl`` of a build."""
        document = json.loads((EXAMPLES_FOLDER / "contracts.json").read_text())
        document["connection_places"] = 10 + self._version
        path = self._fleet.folder / "document.json"
        path.write_text(json.dumps(document))
        with contextlib.chdir(self._builds[build]):
            applied = self._ctl("apply", str(path))
        if applied.get("version", 0) <= self._version:
            self.violations.append(
                f"build {build}: applying a document gave {applied}"
            )
        self._version = applied.get("version", self._version)

    def _check_requests(self, names: tuple[str, ...]) -> None:
        """Checks that each entry answers a query and a one-time booking."""
        wait_for("all searchers", self._are_all_searchers_known)
        for name in ENTRIES:
            for arguments in (
                ("lookup", "--body", '{"pump": 7}'),
                ("book-crew", "--key", "a", "--not-repeatable"),
            ):
                at = self._http[name]
                done = self._fleet.run_ctl(
                    "request", "contracts", *arguments, "--at", at
                )
                if json.loads(done.stdout or "{}").get("code") != CODE_WHOLE:
                    self.violations.append(
                        f"builds {names}: {name} answered {done.stdout}"
                    )

    def _are_all_searchers_known(self) -> bool:
        statuses = (
            self._fleet.get_json(self._http[name], "/v1/status") or {}
            for name in ENTRIES
        )
        return all(
            status.get("state") == "ready"
            and len(status["backend_servers"]) == len(SHARDS)
            for status in statuses
        )

    def _ctl(self, *arguments: str) -> dict:
        at = self._http[wait_for("a leader", self._leader)]
        done = self._fleet.run_ctl(*arguments, "--at", at)
        return json.loads(done.stdout or "{}")


def run_daemons(builds: dict[str, Path]) -> list[str]:
    """Runs the stages; returns the violated guarantees.

    Args:
        builds: checkouts by the names ``old`` and ``new``.
    """
    with tempfile.TemporaryDirectory() as name, Fleet(Path(name)) as fleet:
        daemons = Daemons(fleet, builds)
        try:
            daemons.run_stages()
        except TimeoutError as exc:
            daemons.violations.append(str(exc))
    return daemons.violations
