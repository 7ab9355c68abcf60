"""Keeps a connection open to each of a set of addresses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagemoor.aio import background
from greengagemoor.aio.dial_backoff import DialBackoff

if TYPE_CHECKING:
    from collections.abc import Callable

CLOSED_CHECK_S = 0.1
"""Interval at which the dialling side checks whether a link has closed."""


class Dialler:
    """Dials addresses until each is linked, and again when a link closes.

    Attributes:
        tasks_by_address: a task for each address that is dialled.
    """

    def __init__(
        self,
        make: Callable[[str], asyncio.Protocol],
        is_linked: Callable[[str], bool],
    ):
        """Dials nothing yet.

        Args:
            make: makes the protocol of a connection to an address.
            is_linked: whether a connection dialled to an address is open.
        """
        self.tasks_by_address: dict[str, asyncio.Task] = {}
        self._make = make
        self._is_linked = is_linked

    def set_addresses(self, addresses: set[str]) -> None:
        """Dials these addresses, and others no longer."""
        for address in set(self.tasks_by_address) - addresses:
            self.tasks_by_address.pop(address).cancel()
        for address in addresses:
            self.dial(address)

    def dial(self, address: str) -> None:
        """Dials an address as well, until ``set_addresses`` leaves it out."""
        if address not in self.tasks_by_address:
            task = background.spawn(f"dial {address}", self._maintain(address))
            self.tasks_by_address[address] = task

    async def _maintain(self, address: str) -> None:
        backoff = DialBackoff()
        while True:
            while self._is_linked(address):
                await asyncio.sleep(CLOSED_CHECK_S)
            if await self._try_connect(address, backoff.connect_s):
                backoff = DialBackoff()
                # Also bounds the rate at which connections that close at once
                # are dialled again.
                await asyncio.sleep(CLOSED_CHECK_S)
            else:
                await asyncio.sleep(backoff.wait_s)
                backoff.record_failure()

    async def _try_connect(self, address: str, timeout_s: float) -> bool:
        try:
            await self._connect(address, timeout_s)
        except (OSError, TimeoutError):
            return False
        except Exception as exc:
            # Nothing else would dial this address again.
            background.log_failure(f"dial {address}", exc)
            return False
        return True

    async def _connect(self, address: str, timeout_s: float) -> None:
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().create_connection(
                lambda: self._make(address), host, int(port)
            )
