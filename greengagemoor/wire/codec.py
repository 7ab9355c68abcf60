"""Converts attrs messages to protobuf and back, by equal names."""

from __future__ import annotations

import enum
import importlib
import types
import typing
from functools import cache, lru_cache
from typing import TYPE_CHECKING, Any

import attrs
from google.protobuf.message import DecodeError

from greengagemoor.errors import WireError
from greengagemoor.util import values
from greengagemoor.wire import peers_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

    from google.protobuf.message import Message

# Modules with the classes, imported when a message of theirs is met first: a
# process that speaks only a part of them starts sooner and stays smaller.
_SOURCES = (
    "greengagemoor.control.messages",
    "greengagemoor.control.commands",
    "greengagemoor.feed.messages",
    "greengagemoor.forward.partmessages",
    "greengagemoor.membership.messages",
    "greengagemoor.membership.rows",
    "greengagemoor.backends",
)


# Messages that one process sends to many others unchanged.
_SHARED = frozenset(
    {
        "SearcherRows",
        "SlowSearchers",
        "KnownPeers",
        "NumberedDocument",
        "SuspectRows",
        "Evacuations",
    }
)
SHARED_KEPT = 16
"""Encoded messages kept: what goes out within one tick, and the next."""
# Parts that arrive alike from several processes.
_REPEATED = frozenset({"SearcherRow"})
REPEATED_KEPT = 2048
"""Built parts kept, some 400 bytes each: searchers of a few hundred shards."""


def _snake(name: str) -> str:
    parts = [f"_{c.lower()}" if c.isupper() else c for c in name]
    return "".join(parts).lstrip("_")


@cache
def _class_named(name: str) -> type:
    modules = (importlib.import_module(source) for source in _SOURCES)
    return next(
        found
        for module in modules
        if attrs.has(found := getattr(module, name, None) or object)
    )


@cache
def _choices(message_name: str) -> dict[str, str]:
    """Returns class names by field, of a message of alternatives."""
    message = pb.DESCRIPTOR.message_types_by_name[message_name]
    fields = message.oneofs_by_name["body"].fields
    return {field.name: field.message_type.name for field in fields}


@values.frozen
class _Field:
    """How one attrs field is converted.

    Attributes:
        item: attrs class or enum of the value or its items, None for a
            plain value.
        many: whether it is a tuple.
        command: whether it is a log command, in a message of alternatives.
    """

    name: str
    item: type | None
    many: bool
    command: bool


@cache
def _fields(cls: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        _describe(field.name, hints[field.name]) for field in attrs.fields(cls)
    )


def _describe(name: str, hint: Any) -> _Field:
    many = typing.get_origin(hint) is tuple
    item = typing.get_args(hint)[0] if many else hint
    if isinstance(item, types.UnionType):
        return _Field(name, None, many, command=True)
    structured = isinstance(item, type) and (
        attrs.has(item) or issubclass(item, enum.Enum)
    )
    return _Field(name, item if structured else None, many, command=False)


def to_message(value: Any) -> Message:
    """Returns the protobuf message of an attrs instance."""
    message = getattr(pb, type(value).__name__)()
    _fill(message, value)
    return message


def _fill(message: Message, value: Any) -> None:
    for field in _fields(type(value)):
        part = getattr(value, field.name)
        if field.command:
            if part is not None:
                _fill_choice(getattr(message, field.name), part)
        elif field.many:
            _fill_many(getattr(message, field.name), field, part)
        elif field.item is None:
            setattr(message, field.name, part)
        elif isinstance(part, enum.Enum):
            setattr(message, field.name, part.value)
        else:
            target = getattr(message, field.name)
            target.SetInParent()
            _fill(target, part)


def _fill_many(target: Any, field: _Field, parts: Iterable[Any]) -> None:
    if field.item is None:
        target.extend(parts)
        return
    for part in parts:
        _fill(target.add(), part)


def _fill_choice(message: Message, value: Any) -> None:
    target = getattr(message, _snake(type(value).__name__))
    target.SetInParent()
    _fill(target, value)


def from_message(message: Message, cls: type) -> Any:
    """Returns the attrs instance of a protobuf message.

    Raises:
        WireError: a value is not what the class allows.
    """
    try:
        return _build(message, cls)
    except (ValueError, TypeError) as exc:
        raise WireError(f"{cls.__name__}: {exc}") from exc


def _build(message: Message, cls: type) -> Any:
    return cls(*(_read(message, field) for field in _fields(cls)))


def _read(message: Message, field: _Field) -> Any:
    part = getattr(message, field.name)
    if field.command:
        return _read_choice(part, _choices("Command"))
    if field.many:
        if field.item is None:
            return tuple(part)
        if field.item.__name__ in _REPEATED:
            return tuple(
                _build_once(item.SerializeToString(), field.item)
                for item in part
            )
        return tuple(_build(item, field.item) for item in part)
    if field.item is None:
        return part
    if issubclass(field.item, enum.Enum):
        return field.item(part)
    return _build(part, field.item)


@lru_cache(maxsize=REPEATED_KEPT)
def _build_once(data: bytes, cls: type) -> Any:
    """Builds what several processes tell alike only once.

    A starting entry is told the same rows by each control instance. With nine
    of them and 320 rows that was 33 ms of processor time beside load, while
    callers wait for the first entries after a loss of power; it is 8 ms.
    """
    return _build(getattr(pb, cls.__name__).FromString(data), cls)


def _read_choice(message: Message, choices: dict[str, str]) -> Any:
    name = message.WhichOneof("body")
    if name is None:
        return None
    return _build(getattr(message, name), _class_named(choices[name]))


def to_batch(sender: str, address: str, payloads: Iterable[Any]) -> pb.Batch:
    """Returns the batch that carries payloads to another process."""
    batch = pb.Batch(sender=sender, address=address)
    for payload in payloads:
        envelope = batch.envelopes.add()
        if type(payload).__name__ in _SHARED:
            envelope.MergeFromString(_encode_shared(payload))
        else:
            _fill_choice(envelope, payload)
    return batch


@lru_cache(maxsize=SHARED_KEPT)
def _encode_shared(payload: Any) -> bytes:
    """Encodes what many get at the same time once.

    After a kill of everything all entries ask a control instance for its rows
    together.
    """
    envelope = pb.Envelope()
    _fill_choice(envelope, payload)
    return envelope.SerializeToString()


def from_batch(batch: pb.Batch) -> list[Any]:
    """Returns the payloads of a batch.

    Raises:
        WireError: the batch holds something that this version doesn't know.
    """
    choices = _choices("Envelope")
    try:
        payloads = [
            _read_choice(envelope, choices) for envelope in batch.envelopes
        ]
    except (ValueError, TypeError) as exc:
        raise WireError(str(exc)) from exc
    if any(payload is None for payload in payloads):
        raise WireError("a message of an unknown kind")
    return payloads


def encode(value: Any) -> bytes:
    """Returns the bytes of an attrs instance."""
    return to_message(value).SerializeToString()


def decode(data: bytes, cls: type) -> Any:
    """Returns the attrs instance of bytes.

    Raises:
        WireError: the bytes are not such a message.
    """
    try:
        message = getattr(pb, cls.__name__).FromString(data)
    except DecodeError as exc:
        raise WireError(f"{cls.__name__}: {exc}") from exc
    return from_message(message, cls)
