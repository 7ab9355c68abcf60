"""Registries that decorators fill, for behaviour that varies by name."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from greengagemoor.errors import RegistryError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named choices of one kind of behaviour."""

    def __init__(self, kind: str):
        self.kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that adds its target under ``name``.

        Raises:
            RegistryError: the name is taken.
        """

        def add(item: T) -> T:
            if name in self._items:
                raise RegistryError(f"{self.kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> T:
        """Returns the item of that name.

        Raises:
            RegistryError: no item has that name.
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
"""How to place missing shards on searchers (query/choosing.py)."""

completions: Registry = Registry("completion")
"""When an answer is complete (query/completion.py)."""
