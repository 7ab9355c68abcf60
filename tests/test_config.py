"""Settings, documents and result codes, and their pages in docs/."""

from __future__ import annotations

import json
import re
from pathlib import Path

import attrs
import pytest

from greengagemoor.codes import CODE_TABLE, Code
from greengagemoor.config import Settings, load_settings
from greengagemoor.document import parse_document
from greengagemoor.errors import DocumentError, SettingsError

DOCS = Path(__file__).parent.parent / "docs"
VALID = {
    "instance": "e1",
    "data_centre": "dc1",
    "http_address": "127.0.0.1:8001",
    "peer_address": "127.0.0.1:9001",
}


def write(tmp_path, **changes) -> Path:
    """Writes a valid settings file with some changes."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**VALID, **changes}))
    return path


class TestSettings:
    """Every fault is reported with its JSON path."""

    def test_valid_file(self, tmp_path):
        assert load_settings(write(tmp_path)).instance == "e1"

    @pytest.mark.parametrize(
        ("changes", "fault"),
        [
            ({"colour": 1}, "colour"),
            ({"http_threads": "many"}, "$.http_threads"),
            ({"http_address": "localhost:80"}, "IP:PORT"),
            ({"roles": ["cook"]}, "cook"),
            ({"roles": ["control"]}, "data_folder"),
            ({"waiting_requests": 100}, "http_threads"),
            ({"control_group": [{"instance": "c"}]}, "control_group[0]"),
        ],
    )
    def test_faults(self, tmp_path, changes, fault):
        with pytest.raises(SettingsError) as caught:
            load_settings(write(tmp_path, **changes))
        assert fault in str(caught.value)

    def test_several_faults_at_once(self, tmp_path):
        path = write(tmp_path, seed="x", log_level=3)
        with pytest.raises(SettingsError) as caught:
            load_settings(path)
        assert len(caught.value.faults) == 2

    def test_every_setting_is_documented(self):
        page = (DOCS / "OPERATIONS.md").read_text()
        missing = [
            field.name
            for field in attrs.fields(Settings)
            if f"`{field.name}`" not in page
        ]
        assert not missing


class TestDocument:
    """An invalid document is rejected as a whole."""

    @pytest.mark.parametrize(
        ("change", "fault"),
        [
            ({"entries": ["e", "e"]}, "twice"),
            ({"colour": 1}, "colour"),
            ({"connection_places": 30}, "connection_cap"),
            ({"entries": [f"e{i}" for i in range(11)]}, "11 names, 10 places"),
            ({"services": "all"}, "$.services"),
        ],
    )
    def test_faults(self, change, fault):
        service = {
            "name": "s",
            "backend_servers": [{"name": "a"}],
            "request_classes": [{"name": "read"}],
        }
        text = json.dumps({"services": [service], **change})
        with pytest.raises(DocumentError) as caught:
            parse_document(text)
        assert fault in str(caught.value)

    @pytest.mark.parametrize(
        ("change", "fault"),
        [
            ({"chooser": "best"}, "least_cost"),
            ({"default_deadline_s": 99.0}, "longer than max_deadline_s"),
            ({"least_coverage": 2}, "outside 0 to 1"),
            ({"repeatable": False, "share_answers": True}, "share_answers"),
        ],
    )
    def test_class_faults(self, change, fault):
        service = {
            "name": "s",
            "backend_servers": [],
            "request_classes": [{"name": "read", **change}],
        }
        with pytest.raises(DocumentError) as caught:
            parse_document(json.dumps({"services": [service]}))
        assert fault in str(caught.value)


class TestCodes:
    """docs/RESULT-CODES.md lists the same codes as CODE_TABLE."""

    def test_page_and_table_agree(self):
        page = (DOCS / "RESULT-CODES.md").read_text()
        rows = re.findall(r"^\| (\d+) \| `(\w+)` \| (\d+) \|", page, re.M)
        table = [
            (str(int(code)), code.name, str(CODE_TABLE[code].http_status))
            for code in Code
        ]
        assert rows == table
