"""Fingerprints of requests, independent of their ids."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.util.fingerprints import fingerprint

if TYPE_CHECKING:
    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.routing.accounts import ClientAccount
    from greengagemoor.serving.dialect import RequestInfo


def request_fingerprint(
    req: HttpRequest, info: RequestInfo, account: ClientAccount | None = None
) -> bytes:
    """Returns the same fingerprint for requests that ask for the same."""
    return fingerprint(
        account.name.encode() if account is not None else b"",
        req.method.encode(),
        info.host.encode(),
        req.target.encode(),
        req.body,
    )
