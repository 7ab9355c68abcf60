"""A code change that removes a protection, and tests that must detect it."""

from __future__ import annotations

import attrs


@attrs.frozen
class Mutant:
    """A code change that removes one protection.

    Attributes:
        promise: the guarantee that it protects, most with a detail after a
            colon.
        file: path below greengagemoor/.
        old: text to replace; must occur exactly once in the file.
        new: replacement.
        tests: pytest node ids, at least one of which must fail.
    """

    promise: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...]
