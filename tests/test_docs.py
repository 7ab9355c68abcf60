"""The examples of the pages are valid input."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from greengagemoor.config import Settings
from greengagemoor.document import Document, parse_document
from greengagemoor.shell.backend_api import AnswerBody, RefusalBody
from greengagemoor.shell.http_messages import AnnouncementBody, RequestBody
from greengagemoor.util import shape

DOCS = Path(__file__).parent.parent / "docs"
EXAMPLE = re.compile(r"<!-- example: (\w+) -->\n```json\n(.*?)```", re.S)
CLASSES = {
    cls.__name__: cls
    for cls in (
        AnnouncementBody,
        AnswerBody,
        RefusalBody,
        RequestBody,
        Settings,
    )
}
EXAMPLES = EXAMPLE.findall((DOCS / "OPERATIONS.md").read_text())


class TestExamples:
    """Each marked block, as the class that reads it."""

    def test_all_classes_are_shown(self):
        assert {name for name, _ in EXAMPLES} == {*CLASSES, Document.__name__}

    @pytest.mark.parametrize(("name", "text"), EXAMPLES)
    def test_is_valid(self, name, text):
        if name == Document.__name__:
            assert parse_document(text).services
        else:
            assert shape.parse_json(text, CLASSES[name])


class TestGlossary:
    """Every page that the README names is there."""

    def test_pages(self):
        readme = (DOCS.parent / "README.md").read_text()
        for page in re.findall(r"docs/[A-Z-]+\.md", readme):
            assert (DOCS.parent / page).exists(), page
