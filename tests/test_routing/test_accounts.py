"""Client accounts of a document, and who a request counts for."""

from __future__ import annotations

import pytest

from greengagemoor.errors import DocumentError
from greengagemoor.routing import routes
from greengagemoor.routing.accounts import ClientAccount

ONE = ClientAccount("one", ("k1", "k2"), rate_per_s=2.0, burst=3.0)
TWO = ClientAccount("two", ("k3",))


def table(*accounts):
    return routes.RouteTable(1, (), {}, routes.CallerLimits(), accounts)


class TestLookup:
    """A key names one account; no other text does."""

    @pytest.mark.parametrize(
        ("key", "account"),
        [
            ("k1", ONE),
            ("k2", ONE),
            ("k3", TWO),
            ("K1", None),
            ("", None),
            ("k1 ", None),
            ("one", None),
        ],
    )
    def test_by_key(self, key, account):
        assert table(ONE, TWO).account_for(key) is account

    def test_by_name(self):
        assert table(ONE, TWO).account_named("two") is TWO

    def test_limited_by_rate_or_burst(self):
        assert ONE.is_limited
        assert not TWO.is_limited
        assert ClientAccount("three", burst=1.0).is_limited


class TestFaults:
    """Guards against a key that names two accounts."""

    def check(self, *accounts):
        with pytest.raises(DocumentError) as caught:
            routes.check(table(*accounts))
        return str(caught.value)

    def test_common_key_without_quoting_it(self):
        message = self.check(ONE, ClientAccount("other", ("k2",)))
        assert "one" in message
        assert "k2" not in message

    def test_two_accounts_of_one_name(self):
        self.check(ONE, ClientAccount("one", ("k9",)))

    def test_repeated_key_of_one_account(self):
        routes.check(table(ClientAccount("one", ("k1", "k1")), TWO))


class TestSecrecy:
    """Guards against keys in logs and error texts."""

    def test_representation(self):
        assert "k1" not in repr(ONE)
        assert "k1" not in repr(table(ONE))
