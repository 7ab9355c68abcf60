"""The examples in docs/ are valid input."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from greengagemoor.config import Settings
from greengagemoor.document import Document, parse_document
from greengagemoor.shell.backend_api import AnswerBody, RefusalBody
from greengagemoor.shell.http_messages import AnnouncementBody, RequestBody
from greengagemoor.util import json_conversion

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
    """Each marked example is parsed as the class that it is an example of."""

    def test_each_class_has_an_example(self):
        assert {name for name, _ in EXAMPLES} == {*CLASSES, Document.__name__}

    @pytest.mark.parametrize(("name", "text"), EXAMPLES)
    def test_is_valid(self, name, text):
        if name == Document.__name__:
            assert parse_document(text).services
        else:
            assert json_conversion.decode_json(text, CLASSES[name])


class TestReadme:
    """Every page that the README names exists."""

    def test_named_pages_exist(self):
        readme = (DOCS.parent / "README.md").read_text()
        for page in re.findall(r"docs/[A-Z-]+\.md", readme):
            assert (DOCS.parent / page).exists(), page
