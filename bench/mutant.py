"""One protection taken out, and the tests that must fail without it."""

from __future__ import annotations

import attrs


@attrs.frozen
class Mutant:
    """One protection taken out.

    Attributes:
        promise: which promise it serves, as docs/PROOFS.md names it.
        file: below greengagemoor/.
        old: text that is replaced, once.
        new: what stands there instead.
        tests: pytest node ids that must fail.
    """

    promise: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...]
