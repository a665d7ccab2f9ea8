"""The list of backends as discovery states it, with servers that operators detached shown as draining."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from burlshift.balancing.interface import State

from .listing import Listing, Member

# Most ids that are remembered after their removal: each release brings new ids, and memory must not grow.
MAX_UNLISTED_IDS = 10_000


class BackendList:
    """The list of backends; each change of it is returned as a Listing for the balancer."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}  # by id, as discovery states them now
        self._revision = 0
        self._listed: dict[str, None] = {}  # ids that are or were listed, the latest last
        self._detached: set[str] = set()  # ids that operators detached

    def __len__(self) -> int:
        return len(self._members)

    def update(self, listing: Listing) -> Listing:
        """Apply a listing of discovery; return it with the detached servers as draining."""
        if listing.complete:
            self._members.clear()
        self._revision = listing.revision
        for member in listing.members:
            name = _name(member)
            self._listed.pop(name, None)
            self._listed[name] = None
            if member.backend.state is State.GONE:
                self._members.pop(name, None)
            else:
                self._members[name] = member
        unlisted = [name for name in self._listed if name not in self._members]
        for name in unlisted[: max(0, len(unlisted) - MAX_UNLISTED_IDS)]:
            del self._listed[name]
        return replace(listing, members=tuple(self._with_detachment(m) for m in listing.members))

    def members(self) -> dict[str, Member]:
        """Each member as discovery states it now, by id, whether or not it is detached."""
        return dict(self._members)

    def change(self, members: list[Member]) -> Listing:
        """Return changes that do not come from discovery as a listing of this revision, for `update`."""
        return Listing(self._revision, False, tuple(members))

    def state(self, to_json: Callable[[Member], dict[str, Any]]) -> dict[str, Any]:
        """The state as JSON for the successor: the list in discovery's form, and the detached ids."""
        return {
            "list": {
                "revision": self._revision,
                "complete": True,
                "members": [to_json(m) for m in self._members.values()],
            },
            "listed": list(self._listed),
            "banned": sorted(self._detached),
        }

    def resume(self, state: dict[str, Any], listing: Listing) -> Listing:
        """Continue with the predecessor's state, whose list is `listing`; return the resulting listing.

        Raises KeyError, TypeError or ValueError if the state does not have the expected form.
        """
        self._listed.update(dict.fromkeys(str(name) for name in state["listed"]))
        self._detached.update(str(name) for name in state["banned"])
        return self.update(listing)

    def detach(self, name: str, prevalidated: bool = False) -> Listing:
        """Mark a backend as draining until `attach`; return the change for the balancer.

        LookupError if it never was listed, unless `prevalidated`: another process has checked that.
        """
        if prevalidated:
            self._listed.setdefault(name)
        self._require_listed(name)
        self._detached.add(name)
        return self._current(name)

    def attach(self, name: str) -> Listing:
        """End the detachment; return the backend as discovery states it now, with its latest start time."""
        self._require_listed(name)
        self._detached.discard(name)
        return self._current(name)

    def _require_listed(self, name: str) -> None:
        if name not in self._listed:
            raise LookupError(name)

    def _current(self, name: str) -> Listing:
        member = self._members.get(name)
        return Listing(self._revision, False, (self._with_detachment(member),) if member is not None else ())

    def _with_detachment(self, member: Member) -> Member:
        backend = member.backend
        if _name(member) not in self._detached or backend.state is State.GONE:
            return member
        return replace(member, backend=replace(backend, state=State.DRAINING))


def _name(member: Member) -> str:
    return str(member.backend.id)
