"""Explanations and timelines of recorded logs."""

from __future__ import annotations

from pathlib import Path

from typer.testing import CliRunner

from greengagemoor.cmd.ctl import app
from greengagemoor.log_analysis.explain import explain
from greengagemoor.log_analysis.lines import merge, read_lines
from greengagemoor.log_analysis.timeline import disagreements, timeline

ROOT = Path(__file__).parent.parent / "roots" / "logs"
LOGS = sorted(ROOT.glob("*.log"))


def recorded():
    """Returns the recorded lines of all processes."""
    return merge(
        read_lines(path.read_text().splitlines(), path.stem) for path in LOGS
    )


class TestLines:
    """Parsing of log lines."""

    def test_quoted_values_and_prefixes(self):
        text = '  3.5 front-1 time=5.25 level=INFO event=x reason="a \\"b\\" c"'
        (line,) = read_lines([text])
        assert line.time == 5.25
        assert line.source == "front-1"
        assert line.get("reason") == 'a "b" c'

    def test_other_text_is_skipped(self):
        assert read_lines(["Traceback", "time=now event=x", "time=1.0"]) == []


class TestExplain:
    """History of a request, and the reason for its result."""

    def test_partial(self):
        history = "\n".join(explain(recorded(), "r-partial"))
        assert "reason: the time for a whole answer was over" in history
        assert "s3:late/i-31" in history
        assert "i-31 lost 1.2 s before" in history

    def test_refused(self):
        history = "\n".join(explain(recorded(), "r-refused"))
        assert "each searcher that was asked refused" in history
        assert "2 x s1: not_run: not executed, 503" in history

    def test_sent_twice(self):
        history = explain(recorded(), "r-twice")
        assert any("sent beside" in line for line in history)
        assert any("answers: answered, 2 sends" in line for line in history)

    def test_no_route(self):
        history = explain(recorded(), "r-nowhere")
        assert history[0] == "entry-1 has no route for h/x in document 7"

    def test_unknown(self):
        assert explain(recorded(), "r-x") == ["no log line names request r-x"]


class TestTimeline:
    """State changes of processes, and where they disagree."""

    def test_order_and_filter(self):
        shown = timeline(recorded(), searchers=False)
        assert not any("i-31" in line for line in shown)
        times = [float(line.split()[0]) for line in shown]
        assert times == sorted(times)
        assert any("i-31" in x for x in timeline(recorded(), searchers=True))

    def test_reason_of_a_failed_process(self):
        """Guards against a process that ends without a reason."""
        text = (
            'time=1.0 level=ERROR instance=e1 event=process_failed reason="x"'
        )
        (shown,) = timeline(read_lines([text]), searchers=False)
        assert "process_failed reason=x" in shown

    def test_document_behind(self):
        (text,) = disagreements(recorded(), 3.0)
        assert "entry-2 still has document 7, 9 was seen" in text

    def test_two_leaders_of_one_term(self):
        lines = read_lines(
            [
                "a time=1.0 event=role role=leader term=3 leader=a",
                "b time=2.0 event=role role=leader term=3 leader=b",
            ]
        )
        assert len(disagreements(lines, 3.0)) == 1


class TestCommands:
    """The commands ``explain`` and ``timeline``."""

    def test_files(self):
        result = CliRunner().invoke(
            app, ["explain", "r-refused", *map(str, LOGS)]
        )
        assert result.exit_code == 0
        assert "refused" in result.output

    def test_standard_input(self):
        text = "".join(
            f"{path.stem} {line}\n"
            for path in LOGS
            for line in path.read_text().splitlines()
        )
        result = CliRunner().invoke(app, ["timeline"], input=text)
        assert "disagreement: " in result.output
