"""Which control instance an entry asks."""

from __future__ import annotations

import subprocess
import sys
from collections import Counter
from pathlib import Path

from greengagemoor.quota.dealer_choice import DealerChoice, weight

ROOT = Path(__file__).parents[2]
CONTROL = [f"10.0.0.{number}" for number in range(9)]


def choice(names):
    dealers = DealerChoice()
    for name in names:
        dealers.add(name)
    return dealers


class TestAgreement:
    """All entries ask the same instance first."""

    def test_order_of_links_does_not_matter(self):
        first, second = choice(CONTROL), choice(reversed(CONTROL))
        for number in range(100):
            name = f"account-{number}"
            assert first.select(name, (), 0.0) == second.select(name, (), 0.0)

    def test_hash_is_the_same_in_another_process(self):
        """Guards against ``hash``, which differs from process to process."""
        code = (
            "from greengagemoor.quota.dealer_choice import weight;"
            "print(weight('acme', 'c1').hex())"
        )
        run = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
            env={"PYTHONHASHSEED": "7"},
            cwd=ROOT,
        )
        assert run.stdout.strip() == weight("acme", "c1").hex()

    def test_accounts_are_spread(self):
        dealers = choice(CONTROL)
        counts = Counter(
            dealers.select(f"account-{number}", (), 0.0)
            for number in range(9_000)
        )
        assert min(counts.values()) > 850
        assert max(counts.values()) < 1_150

    def test_a_lost_instance_moves_only_its_accounts(self):
        before, after = choice(CONTROL), choice(CONTROL[1:])
        for number in range(500):
            name = f"account-{number}"
            first = before.select(name, (), 0.0)
            if first != CONTROL[0]:
                assert after.select(name, (), 0.0) == first


class TestAvoidance:
    """Instances that failed are asked last for a time."""

    def test_avoided_one_is_asked_if_no_other_is_left(self):
        dealers = choice(["c1"])
        dealers.avoid("c1", 0.0)
        assert dealers.select("acme", (), 0.1) == "c1"
        assert dealers.select("acme", {"c1"}, 0.1) is None

    def test_new_link_ends_it(self):
        dealers = choice(CONTROL)
        first = dealers.select("acme", (), 0.0)
        dealers.avoid(first, 0.0)
        assert dealers.select("acme", (), 0.1) != first
        dealers.remove(first)
        dealers.add(first)
        assert dealers.select("acme", (), 0.1) == first
