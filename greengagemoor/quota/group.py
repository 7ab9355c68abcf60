"""Whether this control instance deals, and in how many parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

SETTLE_S = 3.0
"""Time in which a member that was replaced has certainly stopped dealing: links
detect silence within 2.3 s."""


class DealerGroup:
    """The control group as the source of quotas.

    A member that was cut off may have been replaced without knowing it, and its
    clock may have stopped. It deals again only after it has heard of the
    group's leader, who sends nothing to a member that was removed. A member
    that restarts deals at once, as it has few tokens.
    """

    def __init__(self):
        self.members: frozenset[str] = frozenset()
        self._own = ""
        self._linked: set[str] = set()
        self._others: list[str] = []
        self._is_known = False
        self._deals_from = 0.0
        self._is_confirmed = True
        self._regained_at: float | None = None
        self._contact_at = float("-inf")
        self._earlier: list[tuple[float, int]] = []

    def set_members(self, now: float, names: Iterable[str], own: str) -> bool:
        """Sets the members; returns whether this instance has become one.

        An instance that is a member from the first call on has restarted with
        its identity, and replaces nobody.
        """
        names = frozenset(names)
        was_member = self._own in self.members
        if len(names) < len(self.members):
            self._earlier.append((now + SETTLE_S, len(self.members)))
        self.members, self._own = names, own
        self._update_others()
        joined = own in names and not was_member
        if joined:
            self._deals_from = now + SETTLE_S if self._is_known else now
        self._is_known = True
        return joined

    def link_up(self, name: str) -> None:
        """Records an open link."""
        self._linked.add(name)
        self._update_others()

    def link_down(self, name: str) -> None:
        """Records a closed link."""
        had_majority = self._has_majority()
        self._linked.discard(name)
        self._update_others()
        if had_majority and not self._has_majority():
            self._is_confirmed = False
            self._regained_at = None

    def _update_others(self) -> None:
        linked = (self.members & self._linked) - {self._own}
        self._others = sorted(linked)

    def others(self) -> list[str]:
        """Returns the other members that have a link to this one."""
        return self._others

    def note_contact(self, at: float) -> None:
        """Records when the leader was last in contact with this member."""
        self._contact_at = at

    def update(self, now: float) -> None:
        """Confirms this member if the leader was in contact since."""
        if self._is_confirmed or not self._has_majority():
            return
        if self._regained_at is None:
            self._regained_at = now
        self._is_confirmed = self._contact_at > self._regained_at

    def _has_majority(self) -> bool:
        return 2 * (1 + len(self._others)) > len(self.members)

    def obstacle(self, now: float) -> str:
        """Returns why this instance does not deal; '' if it does."""
        if self._own not in self.members:
            return "not a member"
        if not self._has_majority():
            return "no link to a majority"
        if not self._is_confirmed:
            return "no leader since links were lost"
        if now < self._deals_from:
            return "new member"
        return ""

    def parts(self, now: float) -> int:
        """Returns the number of parts of each quota.

        It falls only after ``SETTLE_S``: until then a member that was removed
        may still deal.
        """
        count = max(1, len(self.members))
        if self._earlier:
            self._earlier = [row for row in self._earlier if row[0] > now]
            count = max([count, *(earlier for _, earlier in self._earlier)])
        return count

    def next_change(self, now: float) -> float | None:
        """Returns when this instance starts to deal, if time decides it."""
        is_due = self._own in self.members and now < self._deals_from
        return self._deals_from if is_due else None
