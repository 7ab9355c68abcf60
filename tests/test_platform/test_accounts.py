"""Client accounts in the platform's documents, and the keys of requests."""

from __future__ import annotations

import json

import pytest

from greengagemoor.errors import DocumentError
from greengagemoor.platform.documents import read_document
from tests.test_platform.test_adapter import DIALECT, DOCUMENT, request

ACCOUNT = {
    "name": "firm",
    "api-keys": ["secret-1", "secret-2"],
    "priority": 0,
    "rate-per-s": 22,
    "burst": 11.5,
}


def with_accounts(*accounts):
    return json.dumps({**DOCUMENT, "tenants": accounts}).encode()


class TestAccounts:
    """Client accounts of a document, and the keys of requests."""

    def test_decoded(self):
        (account,) = read_document(with_accounts(ACCOUNT)).accounts
        assert (account.name, account.rank) == ("firm", 0)
        assert (account.rate_per_s, account.burst) == (22, 11.5)
        assert account.keys == ("secret-1", "secret-2")

    def test_without_accounts(self):
        assert read_document(json.dumps(DOCUMENT).encode()).accounts is None
        assert read_document(with_accounts()).accounts == ()

    def test_account_without_keys_and_limits(self):
        (account,) = read_document(with_accounts({"name": "a"})).accounts
        assert account.keys == ()
        assert account.rank is None
        assert not account.is_limited

    @pytest.mark.parametrize(
        "changes",
        [
            {"name": ""},
            {"name": "line\r\nbreak"},
            {"api-keys": [""]},
            {"api-keys": ["k\u00e9"]},
            {"api-keys": [7]},
            {"api-keys": "secret-1\n"},
            {"priority": True},
            {"rate-per-s": -1},
            {"burst": "2"},
        ],
    )
    def test_malformed_account_is_rejected_without_its_keys(self, changes):
        with pytest.raises(DocumentError) as caught:
            read_document(with_accounts({**ACCOUNT, **changes}))
        assert "secret" not in str(caught.value)

    @pytest.mark.parametrize(
        ("headers", "key"),
        [
            ([(b"Api-Key", b"k")], "k"),
            ([(b"aPI-kEY", b"k")], "k"),
            ([], ""),
            ([(b"Api-Key", b"")], ""),
            ([(b"Api-Key", b"k"), (b"Api-Key", b"k")], ""),
        ],
    )
    def test_key_of_a_request(self, headers, key):
        assert DIALECT.read_request(request(headers=headers)).key == key

    def test_searcher_gets_the_name_and_never_the_key(self):
        (account,) = read_document(with_accounts(ACCOUNT)).accounts
        headers = [
            (b"API-KEY", b"secret-1"),
            (b"tenant-id", b"another"),
            (b"X-Other", b"kept"),
        ]
        req = request(headers=headers)
        DIALECT.set_account(req, account)
        data = DIALECT.write_attempt(req, "i-1", 0.1)
        assert b"secret" not in data
        assert b"another" not in data
        assert b"\r\nTenant-Id: firm\r\n" in data
        assert b"X-Other: kept" in data

    def test_public_request_without_an_account(self):
        req = request(headers=[(b"Api-Key", b"x"), (b"Tenant-Id", b"y")])
        DIALECT.set_account(req, None)
        assert req.headers == []

    def test_key_is_not_shown(self):
        info = DIALECT.read_request(request(headers=[(b"Api-Key", b"k9")]))
        assert "k9" not in repr(info)
