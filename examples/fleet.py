"""Starts the processes of a small fleet and stops all of them."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import urllib3

EXAMPLES_FOLDER = Path(__file__).parent
WAIT_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 30.0


def free_addresses(count: int) -> list[str]:
    """Returns loopback addresses whose ports are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Fleet:
    """Processes started by a script; all end when the context exits."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=15.0)

    def __enter__(self) -> Fleet:
        """Returns itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Stops every process that still runs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start_instance(self, name: str, **settings: Any) -> None:
        """Starts a daemon with these settings."""
        self.settings[name] = {"instance": name, **settings}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        self._start(name, "-m", "greengagemoor.cmd.daemon", str(path))

    def restart_instance(self, name: str) -> None:
        """Starts a daemon again with its previous settings."""
        settings = dict(self.settings[name])
        del settings["instance"]
        self.start_instance(name, **settings)

    def start_searcher(self, name: str, address: str, **options: Any) -> None:
        """Starts a stand-in searcher."""
        arguments = [
            part
            for key, value in options.items()
            for part in (f"--{key.replace('_', '-')}", str(value))
        ]
        script = str(EXAMPLES_FOLDER / "searcher.py")
        self._start(name, script, name, address, *arguments)

    def _start(self, name: str, *arguments: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to one process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills one process and waits for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def run_ctl(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs ``greengagemoorctl``."""
        return subprocess.run(
            [sys.executable, "-m", "greengagemoor.cmd.ctl", *arguments],
            capture_output=True,
            text=True,
            check=False,
        )

    def get_json(self, address: str, path: str) -> Any:
        """Returns the JSON of a GET, or None without a JSON answer."""
        return self.call_json("GET", address, path)

    def call_json(self, method: str, address: str, path: str, body=None) -> Any:
        """Returns the JSON of a request, or None without a JSON answer."""
        data = None if body is None else json.dumps(body)
        try:
            url = f"http://{address}{path}"
            return self.http.request(method, url, body=data).json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return None


def wait_for(what: str, condition, seconds: float = WAIT_TIMEOUT_S) -> Any:
    """Returns the first true value of ``condition()``.

    Raises:
        TimeoutError: it was still false after that many seconds.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"waited {seconds} s for {what}")
