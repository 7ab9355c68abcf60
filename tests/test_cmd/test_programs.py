"""Command-line programs: help, checks and exit codes."""

from __future__ import annotations

import json

import pytest
import typer
from typer.testing import CliRunner

from greengagemoor.cmd import ctl, daemon, http_calls

RUNNER = CliRunner()
UNREACHABLE_ADDRESS = "127.0.0.1:1"


@pytest.fixture
def daemon_app():
    app = typer.Typer()
    app.command()(daemon.run)
    return app


class TestDaemon:
    """``greengagemoord``."""

    def test_check_reports_every_fault_with_its_path(
        self, daemon_app, tmp_path
    ):
        path = tmp_path / "settings.json"
        path.write_text(json.dumps({"instance": "e1", "seed": "x"}))
        result = RUNNER.invoke(daemon_app, [str(path), "--check"])
        assert result.exit_code == daemon.EXIT_INVALID
        assert "$.seed" in result.output
        assert "http_address" in result.output

    def test_check_of_a_valid_file(self, daemon_app, tmp_path):
        path = tmp_path / "settings.json"
        good = {
            "instance": "e1",
            "data_centre": "dc1",
            "http_address": "127.0.0.1:8001",
            "peer_address": "127.0.0.1:9001",
        }
        path.write_text(json.dumps(good))
        result = RUNNER.invoke(daemon_app, [str(path), "--check"])
        assert result.exit_code == 0
        assert "valid" in result.output

    def test_missing_file(self, daemon_app, tmp_path):
        result = RUNNER.invoke(daemon_app, [str(tmp_path / "none.json")])
        assert result.exit_code == daemon.EXIT_INVALID


class FakeApplication:
    """An application of which one step fails."""

    def __init__(self, cfg):
        self._failing_step = cfg

    def start(self):
        if self._failing_step == "start":
            raise RuntimeError("odd")

    def shut_down(self):
        if self._failing_step == "shut_down":
            raise TimeoutError("peers")


class TestFailedDaemon:
    """A daemon that fails ends, though its other threads still run."""

    @pytest.mark.parametrize(
        ("step", "event"),
        [("start", "start_failed"), ("shut_down", "shutdown_failed")],
    )
    def test_ends_at_once(self, monkeypatch, step, event):
        """Guards against a process that stays up and serves nothing."""
        lines = []

        def leave(code):
            raise SystemExit(code)

        monkeypatch.setattr(
            daemon.log, "event", lambda name, **fields: lines.append(name)
        )
        monkeypatch.setattr(daemon, "Application", FakeApplication)
        monkeypatch.setattr(daemon, "_exit_immediately", leave)
        monkeypatch.setattr(daemon.signal, "sigwait", lambda signals: None)
        with pytest.raises(SystemExit) as left:
            daemon._serve(step)
        assert left.value.code == daemon.EXIT_FAILED
        assert lines == [event]


class TestCtl:
    """``greengagemoorctl``."""

    def test_invalid_document_is_not_sent(self, tmp_path):
        path = tmp_path / "document.json"
        path.write_text('{"entries": ["e", "e"], "colour": 1}')
        result = RUNNER.invoke(
            ctl.app, ["apply", str(path), "--at", UNREACHABLE_ADDRESS]
        )
        assert result.exit_code == ctl.Exit.INVALID
        assert "colour" in result.output

    def test_unreachable_instance(self):
        result = RUNNER.invoke(ctl.app, ["status", "--at", UNREACHABLE_ADDRESS])
        assert result.exit_code == ctl.Exit.UNREACHABLE

    def test_help_names_every_command(self):
        result = RUNNER.invoke(ctl.app, ["--help"])
        commands = ("apply", "show", "diff", "status", "members", "request")
        assert all(command in result.output for command in commands)

    def test_settings_are_explained(self):
        result = RUNNER.invoke(ctl.app, ["explain-settings"])
        assert "http_address (required)" in result.output
        assert "election_s (1.0)" in result.output


@pytest.fixture
def called(monkeypatch):
    made = []

    def call(at, method, path, body=None):
        made.append((at, method, path, body))
        return http_calls.Reply(200, {"requests": []}, "")

    monkeypatch.setattr(http_calls, "call_instance", call)
    return made


class TestEvacuations:
    """``greengagemoorctl evacuate``, ``restore`` and ``evacuations``."""

    @pytest.mark.parametrize(
        ("command", "active"), [("evacuate", True), ("restore", False)]
    )
    def test_order(self, called, command, active):
        result = RUNNER.invoke(
            ctl.app, [command, "dc1", "--at", UNREACHABLE_ADDRESS]
        )
        assert result.exit_code == 0
        body = {"data_centre": "dc1", "active": active}
        assert called == [(UNREACHABLE_ADDRESS, "POST", "/evacuations", body)]

    def test_list(self, called):
        result = RUNNER.invoke(
            ctl.app, ["evacuations", "--at", UNREACHABLE_ADDRESS]
        )
        assert result.exit_code == 0
        assert called == [(UNREACHABLE_ADDRESS, "GET", "/evacuations", None)]


class TestQuarantine:
    """``greengagemoorctl quarantine`` and ``clear``."""

    def test_list(self, called):
        result = RUNNER.invoke(
            ctl.app, ["quarantine", "--at", UNREACHABLE_ADDRESS]
        )
        assert result.exit_code == 0
        assert called == [(UNREACHABLE_ADDRESS, "GET", "/quarantine", None)]

    def test_clear(self, called):
        result = RUNNER.invoke(
            ctl.app, ["clear", "ab12", "--at", UNREACHABLE_ADDRESS]
        )
        assert result.exit_code == 0
        body = {"digest": "ab12"}
        assert called == [(UNREACHABLE_ADDRESS, "POST", "/quarantine", body)]

    def test_unreachable_control_instance(self):
        result = RUNNER.invoke(
            ctl.app, ["quarantine", "--at", UNREACHABLE_ADDRESS]
        )
        assert result.exit_code == ctl.Exit.UNREACHABLE
