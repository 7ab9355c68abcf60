"""Losses computed from logs."""

from __future__ import annotations

import pytest
from typer.testing import CliRunner

from greengagemoor.cmd.ctl import app
from greengagemoor.log_analysis.lines import read_lines
from greengagemoor.log_analysis.losses import find_losses


def lines(*texts):
    return read_lines([f"time={text}" for text in texts], "entry-1")


def sent(request_id, *services, kind="sent"):
    return [
        f"5.0 event=step request_id={request_id} kind={kind} service={service}"
        for service in services
    ]


def answer(request_id, ending, detail='""', at=5.2):
    return (
        f"{at} event=answer request_id={request_id} ending={ending} "
        f"detail={detail}"
    )


class TestLosses:
    """Loss of complete, missing and partial answers."""

    def test_complete_answer_is_no_loss(self):
        found = find_losses(lines(answer("r", "answered", "s1:i-1+20ms")))
        assert found.answers == 1
        assert not found.by_cause

    def test_missing_answer(self):
        found = find_losses(lines(answer("r", "not_run_busy", at=7.9)))
        assert found.by_cause == {"not_run_busy": 1.0}
        assert found.by_second == {7: 1.0}

    @pytest.mark.parametrize(
        ("state", "cause"),
        [
            ("late/i-1", "late, no second send"),
            ("none", "no searcher"),
            ("waits", "no free connection"),
            ("broken", "connections broke"),
            ("refused", "searchers refused"),
            ("failed500", "searchers failed"),
        ],
    )
    def test_partial_answer_by_cause(self, state, cause):
        found = find_losses(
            lines(
                *sent("r", "s0", "s1", "s2", "s3"),
                answer("r", "partial", f"s1:{state},s3:i-9+20ms"),
            )
        )
        (only_loss,) = found.by_cause.items()
        assert only_loss == (f"partial: {cause}", pytest.approx(1 - 0.75**2))

    def test_second_send_late_too(self):
        found = find_losses(
            lines(
                *sent("r", "s0", "s1"),
                *sent("r", "s1", kind="sent_beside"),
                answer("r", "partial", "s1:late/i-1+i-2,s0:i-9+20ms"),
            )
        )
        assert list(found.by_cause) == ["partial: late, second send too"]

    def test_shard_without_a_send_counts(self):
        found = find_losses(
            lines(
                *sent("r", "s0"),
                answer("r", "partial", "s1:none,s0:i-9+20ms"),
            )
        )
        assert sum(found.by_cause.values()) == pytest.approx(0.75)

    def test_starts(self):
        found = find_losses(
            lines(
                "5.0 event=start role=entry",
                "5.5 event=ready ready=True document=3",
                "6.0 event=ready ready=False document=3",
            )
        )
        assert found.starts == [("entry-1", 0.5)]


class TestCommand:
    """``greengagemoorctl losses``."""

    def test_from_a_file(self, tmp_path):
        path = tmp_path / "entry-1.log"
        path.write_text("time=5.0 event=answer request_id=r ending=broken\n")
        result = CliRunner().invoke(app, ["losses", str(path)])
        assert result.exit_code == 0
        assert "1 answers logged, 0 of them partial, 1.0 lost" in result.output
