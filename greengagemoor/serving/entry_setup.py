"""Makes the decider of an entry from its settings."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from greengagemoor.feed.messages import Subscribe
from greengagemoor.forward.entry_decider import EntryDecider
from greengagemoor.forward.policy import Policy

if TYPE_CHECKING:
    from greengagemoor.serving.settings import ServingSettings

RETRY_BUDGET_SHARE = 0.85
"""Share of the allowed retries and hedges that is used. The rest is a margin: a
stall of the network moves requests and their retries into different windows."""


def make_decider(cfg: ServingSettings) -> EntryDecider:
    """Returns the decider of an entry that is not ready yet."""
    policy = Policy(
        retry_ratio=cfg.retry_ratio * RETRY_BUDGET_SHARE,
        retry_slack=cfg.retry_slack * RETRY_BUDGET_SHARE,
        retry_window_s=cfg.retry_window_s,
        admission_control=cfg.admission_control,
    )
    own_row = Subscribe(
        cfg.instance,
        cfg.caller_address,
        cfg.data_centre,
        ready=False,
        peer_address=cfg.peer_address,
        capacity=cfg.entry_capacity,
    )
    rng = random.Random(cfg.seed or hash(cfg.instance))
    return EntryDecider(own_row, rng, policy)
