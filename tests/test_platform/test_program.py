"""A process's log lines and settings, whatever fails around them."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from greengagemoor import log
from greengagemoor.aio import background
from greengagemoor.platform import program
from greengagemoor.serving import entry
from greengagemoor.serving.settings import ServingSettings
from greengagemoor.util.line_writer import LineWriter
from tests.test_aio.helpers import run

CFG = ServingSettings("e1", "dc1", "127.0.0.1:1", ())
OTHER = ServingSettings("e1", "dc1", "127.0.0.1:1", ("127.0.0.1:2",))
PROCESS_TIMEOUT_S = 30.0
STUCK_THREAD = """
import threading
from greengagemoor.platform import program
from greengagemoor.serving import entry
from tests.test_platform.test_program import CFG, FakeApp

class App(FakeApp):
    async def start(self):
        threading.Thread(target=threading.Event().wait).start()
        raise RuntimeError("no")

entry.EntryApp = App
program.run("entry", CFG, None)
"""


class FakeApp:
    """An app that serves nothing.

    Attributes:
        reload_errors: raised by the next reloads, last first.
        reloaded: settings that were applied.
    """

    def __init__(self, *_):
        self.reload_errors = []
        self.reloaded = []

    async def start(self):
        pass

    async def stop(self):
        pass

    def reload(self, cfg):
        if self.reload_errors:
            raise self.reload_errors.pop()
        self.reloaded.append(cfg)


class Output:
    """Standard output of the process under test, which may be replaced."""

    def __init__(self):
        self._reader, self.descriptor = os.pipe()
        os.set_blocking(self._reader, False)
        self._seen = b""

    def text(self):
        """Returns all that was written so far."""
        try:
            while data := os.read(self._reader, 1 << 16):
                self._seen += data
        except BlockingIOError:
            pass
        return self._seen.decode()

    async def wait_for(self, text):
        """Waits until a text has been written."""
        await wait_until(lambda: text in self.text())

    def close(self):
        """Closes both ends."""
        os.close(self._reader)
        os.close(self.descriptor)


async def wait_until(condition):
    """Waits until a condition is true."""
    while not condition():
        await asyncio.sleep(0.005)


@pytest.fixture
def output(monkeypatch):
    """Returns the output to which the process's lines go."""
    out = Output()

    def configure(instance):
        writer = LineWriter(out.descriptor, instance)
        monkeypatch.setattr(log, "_line_writer", writer)
        return writer

    monkeypatch.setattr(log, "configure_line_writer", configure)
    monkeypatch.setattr(background, "_budgets", {})
    monkeypatch.setattr(program, "RELOAD_INTERVAL_S", 0.005)
    monkeypatch.setattr(program, "FLUSH_INTERVAL_S", 0.005)
    monkeypatch.setattr(program, "read_boot", lambda path: CFG)
    yield out
    out.close()


@pytest.fixture
def app(monkeypatch):
    """Returns the app that the process runs as an entry."""
    fake = FakeApp()
    monkeypatch.setattr(entry, "EntryApp", lambda *_: fake)
    return fake


def terminate():
    """Sends SIGTERM to this process; the loop handles it."""
    os.kill(os.getpid(), signal.SIGTERM)


def serve(play):
    """Runs an entry and ``play()`` beside it, then ends the entry."""

    async def main():
        serving = asyncio.ensure_future(program._serve("entry", CFG, None))
        await play()
        terminate()
        await serving

    run(main())


class TestLines:
    """Log lines are written from the start of a process to its end."""

    def test_written_while_the_app_starts(self, output, app, monkeypatch):
        """Guards against a start that waits and of which no line tells."""
        monkeypatch.setattr(app, "start", asyncio.Event().wait)
        serve(lambda: output.wait_for("event=start "))
        assert "event=stopped" in output.text()

    def test_written_again_after_failed_writes(self, output, app):
        """Guards against a full disk after which no line is written."""
        pipe = os.dup(output.descriptor)
        full = os.open("/dev/full", os.O_WRONLY)
        os.dup2(full, output.descriptor)
        failed = background.failures()

        async def play():
            await wait_until(lambda: background.failures() > failed)
            os.dup2(pipe, output.descriptor)
            await output.wait_for("task=flush_log")

        serve(play)
        os.close(pipe)
        os.close(full)
        assert "No space left on device" in output.text()
        assert "event=start " in output.text()
        assert "event=stopped" in output.text()

    def test_process_ends_in_order_on_a_full_disk(self, output, app):
        """Guards against a shutdown that fails at its last line."""
        full = os.open("/dev/full", os.O_WRONLY)
        os.dup2(full, output.descriptor)
        failed = background.failures()
        serve(lambda: wait_until(lambda: background.failures() > failed))
        os.close(full)

    @pytest.mark.parametrize("step", ["start", "stop"])
    def test_reason_of_a_failed_process(self, output, app, monkeypatch, step):
        """Guards against a process that ends without a line that says why."""

        async def fail():
            raise OSError("address in use")

        monkeypatch.setattr(app, step, fail)
        with pytest.raises(OSError, match="address in use"):
            serve(lambda: output.wait_for("event=start "))
        assert "event=start " in output.text()
        assert 'process_failed reason="OSError: address' in output.text()

    def test_failed_process_ends_beside_a_running_thread(self):
        """Guards against a failed process that a thread keeps running."""
        ended = subprocess.run(
            [sys.executable, "-c", STUCK_THREAD],
            cwd=Path(__file__).parents[2],
            capture_output=True,
            text=True,
            timeout=PROCESS_TIMEOUT_S,
        )
        assert ended.returncode == program.EXIT_FAILED
        assert "RuntimeError: no" in ended.stderr
        assert "event=process_failed" in ended.stdout


class TestSettings:
    """Changed settings are applied, whatever failed before."""

    def test_read_again_after_an_unexpected_error(
        self, output, app, monkeypatch
    ):
        """Guards against settings that are never read again."""
        errors = [RuntimeError("odd"), MemoryError()]

        def read(path):
            if errors:
                raise errors.pop()
            return OTHER

        monkeypatch.setattr(program, "read_boot", read)
        serve(lambda: wait_until(lambda: app.reloaded))
        assert app.reloaded == [OTHER]

    def test_applied_again_after_a_failed_reload(
        self, output, app, monkeypatch
    ):
        """Guards against changed settings that never come into force."""
        app.reload_errors = [ValueError("a"), ValueError("b")]
        monkeypatch.setattr(program, "read_boot", lambda path: OTHER)
        serve(lambda: wait_until(lambda: app.reloaded))
        assert app.reloaded == [OTHER]
        assert output.text().count("event=reload") == 1
