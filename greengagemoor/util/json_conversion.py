"""Strict conversion between JSON and attrs classes; faults name their path."""

from __future__ import annotations

import enum
import json
from functools import cache
from typing import TYPE_CHECKING, Any, TypeVar

import attrs

from greengagemoor.errors import InvalidInputError

if TYPE_CHECKING:
    import cattrs

# cattrs is imported on first use: processes that convert no JSON start 0.1 s
# sooner without it.
T = TypeVar("T")


def _strict(kind: type, *accepted: type):
    def structure(value: Any, _: type) -> Any:
        if type(value) not in accepted:
            raise TypeError(f"expected {kind.__name__}")
        return kind(value)

    return structure


def _structure_enum(value: Any, cls: type[enum.Enum]) -> enum.Enum:
    if isinstance(value, bool):
        raise TypeError(f"expected one of {[item.value for item in cls]}")
    return cls(value)


@cache
def _converter() -> cattrs.Converter:
    import cattrs
    from cattrs.gen import make_dict_structure_fn

    conv = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    conv.register_structure_hook(int, _strict(int, int))
    conv.register_structure_hook(float, _strict(float, int, float))
    conv.register_structure_hook(str, _strict(str, str))
    conv.register_structure_hook(bool, _strict(bool, bool))
    # Without a hook of its own an IntEnum would be converted to a plain int.
    conv.register_structure_hook(enum.IntEnum, _structure_enum)
    conv.register_structure_hook_func(
        lambda cls: isinstance(cls, type) and issubclass(cls, enum.Enum),
        _structure_enum,
    )
    conv.register_structure_hook_factory(
        attrs.has,
        lambda cls: make_dict_structure_fn(
            cls, conv, _cattrs_forbid_extra_keys=True
        ),
    )
    return conv


def _describe(exc: BaseException, kind: type | None) -> str:
    from cattrs.v import format_exception

    if isinstance(exc, (TypeError, ValueError)) and not isinstance(
        exc, UnicodeError
    ):
        return str(exc) or type(exc).__name__
    return format_exception(exc, kind)


def from_json(value: Any, cls: type[T]) -> T:
    """Builds an attrs instance from decoded JSON.

    Args:
        value: what ``json.loads`` returned.
        cls: the attrs class to build.

    Raises:
        InvalidInputError: lists each fault with its path, ``... @ $.a[0].b``.
    """
    import cattrs

    try:
        return _converter().structure(value, cls)
    except cattrs.BaseValidationError as exc:
        faults = cattrs.transform_error(exc, format_exception=_describe)
        raise InvalidInputError(faults) from exc
    except (TypeError, ValueError, AttributeError) as exc:
        raise InvalidInputError([f"expected an object @ $ ({exc})"]) from exc


def decode_json(text: str | bytes, cls: type[T]) -> T:
    """Decodes JSON text and builds an attrs instance; see ``from_json``."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise InvalidInputError([f"not JSON: {exc} @ $"]) from exc
    return from_json(value, cls)


def to_json(value: Any) -> Any:
    """Returns the JSON form of an attrs instance; enums become their value."""
    return _converter().unstructure(value)


def encode_json(value: Any) -> str:
    """Returns canonical JSON text: sorted keys, no spaces."""
    return json.dumps(to_json(value), sort_keys=True, separators=(",", ":"))
