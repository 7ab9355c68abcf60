"""No value makes a logging call raise."""

from __future__ import annotations

import os

import pytest

from greengagemoor import log
from greengagemoor.util.line_writer import LineWriter


class UnprintableError(Exception):
    """An exception whose text can't be formed."""

    def __str__(self):
        raise TypeError("no text")

    __repr__ = __str__


class Writer:
    """Collects the lines of ``log.event``."""

    def __init__(self):
        self.lines = []

    def write(self, level, text):
        """Collects a line."""
        text.encode()
        self.lines.append(text)


@pytest.fixture
def lines(monkeypatch):
    """Returns the text of all lines logged in a test."""
    writer = Writer()
    monkeypatch.setattr(log, "_line_writer", writer)
    return writer.lines


class TestValues:
    """A line is written whatever its values are.

    A logging call in a tick or in an exception handler that raises ends what
    it should report on.
    """

    @pytest.mark.parametrize("path", ["/\ud800", "/\x00\n", "/\udcff é"])
    def test_undecodable_path_gives_one_line(self, lines, path):
        """Guards against UnicodeEncodeError by a lone surrogate in a path."""
        log.event("no_route", path=path)
        (line,) = lines
        assert "\n" not in line

    def test_value_without_text(self, lines):
        """Guards against an exception raised by an exception's ``__str__``."""
        log.event("disk_unusable", reason=UnprintableError())
        assert lines == ["event=disk_unusable reason=<UnprintableError>"]

    def test_exception_without_text(self, lines):
        """Guards against a handler that fails as it names what it caught."""
        assert (
            log.describe(UnprintableError())
            == "UnprintableError: <UnprintableError>"
        )
        assert log.describe(KeyError("a")) == "KeyError: 'a'"

    def test_surrogate_in_a_finished_line(self):
        """Guards against UnicodeEncodeError in the writer of the lines."""
        reader, descriptor = os.pipe()
        writer = LineWriter(descriptor, "e1")
        writer.write("INFO", "event=x path=\ud800")
        writer.flush()
        assert os.read(reader, 4096).endswith(b"event=x path=\\ud800\n")
        os.close(reader)
        os.close(descriptor)
