"""Every logged event and field is declared and documented."""

from __future__ import annotations

import ast
from itertools import chain
from pathlib import Path

import greengagemoor
from greengagemoor.log_fields import EVENTS, FIELDS

PACKAGE = Path(greengagemoor.__file__).parent
EVENT_LOOP_PACKAGES = ("aio", "feed", "forward", "platform", "serving")
SHARED = (PACKAGE / "shell" / "group_log.py",)
PAGE = (PACKAGE.parent / "docs" / "OPERATIONS.md").read_text()


def logging_calls():
    """Yields (file, event, fields) of each logging call."""
    files = (
        p for name in EVENT_LOOP_PACKAGES for p in (PACKAGE / name).glob("*.py")
    )
    for path in chain(files, SHARED):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr == "event"
                and getattr(node.func.value, "id", "") == "log"
            ):
                names = {word.arg for word in node.keywords}
                yield path.name, node.args[0].value, names - {"level"}


class TestTable:
    """The table agrees with the logging calls and with docs/OPERATIONS.md."""

    def test_each_call_is_declared(self):
        found = list(logging_calls())
        assert len(found) > 20
        undeclared = [
            (file, event, names - set(FIELDS))
            for file, event, names in found
            if event not in EVENTS or names - set(FIELDS)
        ]
        assert undeclared == []

    def test_each_declared_event_is_logged(self):
        text = "".join(p.read_text() for p in PACKAGE.rglob("*.py"))
        missing = [e for e in EVENTS if text.count(f'"{e}"') < 2]
        assert missing == ["log_lines_dropped"] or missing == []

    def test_page_lists_all_with_their_meaning(self):
        rows = {**EVENTS, **FIELDS}
        missing = [n for n, word in rows.items() if f"| {word} |" not in PAGE]
        assert missing == []
