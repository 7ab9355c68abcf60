"""Selects the decider of a control instance that receives a message."""

from __future__ import annotations

from greengagemoor.control import messages as control
from greengagemoor.control.client import OperationAbandoned, OperationRequest
from greengagemoor.control.join_messages import SeedsChanged
from greengagemoor.feed import messages as feed
from greengagemoor.quota import messages as quota

_DECIDER_MESSAGES = (control.Persisted, control.Recovered, SeedsChanged)
_HUB_PAYLOADS = (
    feed.Subscribe,
    feed.SearcherRows,
    feed.RowsTaken,
    feed.SlowReport,
    feed.WantNumbered,
    feed.SuspectRows,
    feed.WantHelpers,
)
_HUB_MESSAGES = (
    feed.SearcherAnnounced,
    feed.SearcherLeaving,
    feed.LinkUp,
    feed.LinkDown,
    control.NumberedDocumentAccepted,
    control.EvacuationsAccepted,
    feed.ClearSuspect,
    feed.DeparturesStored,
)

_CLIENT_MESSAGES = (OperationRequest, OperationAbandoned)
_DEALER_PAYLOADS = (quota.QuotaAsk, quota.TokenRequest, quota.TokenGrant)
_DEALER_MESSAGES = (feed.LinkUp, feed.LinkDown)


def is_for_member(msg: object) -> bool:
    """Whether the member of the control group receives the message."""
    if isinstance(msg, control.Received):
        return isinstance(msg.payload, control.MEMBER_PAYLOADS)
    return isinstance(msg, _DECIDER_MESSAGES)


def is_for_hub(msg: object) -> bool:
    """Whether the hub receives the message."""
    if isinstance(msg, control.Received):
        return isinstance(msg.payload, _HUB_PAYLOADS)
    return isinstance(msg, _HUB_MESSAGES)


def is_for_client(msg: object) -> bool:
    """Whether the client of the control group receives the message."""
    if isinstance(msg, control.Received):
        return isinstance(msg.payload, control.OpReply)
    return isinstance(msg, _CLIENT_MESSAGES)


def is_for_dealer(msg: object) -> bool:
    """Whether the dealer of quotas receives the message."""
    if isinstance(msg, control.Received):
        return isinstance(msg.payload, _DEALER_PAYLOADS)
    return isinstance(msg, _DEALER_MESSAGES)
