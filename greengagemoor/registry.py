"""Registries of interchangeable behaviour by name, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from greengagemoor.errors import RegistryError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one kind of behaviour."""

    def __init__(self, kind: str):
        self.kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its target as ``name``.

        Raises:
            RegistryError: the name is already registered.
        """

        def add(item: T) -> T:
            if name in self._items:
                raise RegistryError(f"{self.kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> T:
        """Returns the item registered as ``name``.

        Raises:
            RegistryError: there is no such item.
        """
        try:
            return self._items[name]
        except KeyError:
            known = ", ".join(sorted(self._items))
            raise RegistryError(
                f"unknown {self.kind} {name!r}; known: {known}"
            ) from None

    def __contains__(self, name: object) -> bool:
        return name in self._items

    def names(self) -> list[str]:
        """Returns the registered names, sorted."""
        return sorted(self._items)


choosers: Registry = Registry("chooser")
"""Strategies that assign missing shards to searchers (query/choosers.py)."""

completions: Registry = Registry("completion")
"""Rules for when an answer is complete (query/completion.py)."""
