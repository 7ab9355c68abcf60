"""The examples: demo in separate processes, embedding, and documents."""

from __future__ import annotations

import pytest

from examples import demo, embed_membership
from examples.fleet import EXAMPLES_FOLDER, Fleet
from greengagemoor.document import parse_document


class TestDemo:
    """One query through control instance, entries and searchers."""

    def test_answer_is_whole(self, tmp_path):
        with Fleet(tmp_path) as fleet:
            answer = demo.run(fleet)
        assert answer["code"] == 100
        assert answer["coverage"]["reflected"] == [0, 1, 2, 3, 4, 5]
        assert answer["coverage"]["missing"] == []
        assert all(p.poll() is not None for p in fleet.processes.values())


class TestEmbedding:
    """Membership, embedded without the daemons."""

    def test_instances_find_each_other(self):
        assert set(embed_membership.run()) == {"a", "b"}


class TestDocuments:
    """The example documents of the two organisations."""

    @pytest.mark.parametrize(
        ("name", "searchers"), [("atlas", 85), ("darling-downs", 83)]
    )
    def test_valid_and_of_the_right_size(self, name, searchers):
        path = EXAMPLES_FOLDER / "documents" / f"{name}.json"
        document = parse_document(path.read_text())
        found = sum(len(s.backend_servers) for s in document.services)
        assert found == searchers
