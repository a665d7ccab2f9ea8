"""The backend list as returned by discovery, and the parser of its JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from burlshift.balancing.interface import Backend, State

from .clock import Clock
from .start_times import StartTimes

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


@dataclass(slots=True, frozen=True)
class Address:
    """Host and port of a listening socket."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Member:
    """One entry of the list: the backend as passed to the balancer, and its address."""

    backend: Backend
    address: Address
    up_since_ms: int = 0  # start time as the list gives it; identifies the process together with the id

    def same_process(self, other: Member | None) -> bool:
        """Whether both entries stand for the same process, so that connections to one reach the other."""
        return other is self or (
            other is not None
            and self.address == other.address
            and self.backend.started_at == other.backend.started_at
        )


@dataclass(slots=True, frozen=True)
class Listing:
    """A response of discovery: the full list if `complete`, else the entries that changed."""

    revision: int
    complete: bool
    members: tuple[Member, ...]
    identity: str | None = None  # identity of the list, if the service sends one


def parse_addresses(value: str | list[str]) -> tuple[Address, ...]:
    """Parse the addresses of discovery: a list, or a comma-separated text. ValueError if there is none."""
    texts = value.split(",") if isinstance(value, str) else value
    addresses = tuple(parse_address(text.strip()) for text in texts)
    if not addresses:
        raise ValueError("no address of discovery")
    return addresses


def parse_address(text: str) -> Address:
    """Parse host:port; raises ValueError if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"no address: {text!r}")
    return Address(host, int(port))


class ListingParser:
    """Converts between discovery's JSON and Listing, with zones and kinds as indexes into the given names."""

    def __init__(self, clock: Clock, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.starts = StartTimes(clock)
        self._zones = {name: index for index, name in enumerate(zones)}
        self._kinds = {name: index for index, name in enumerate(kinds)}

    def parse(self, doc: Any) -> Listing:
        """Parse a response of discovery. Raises ValueError if it does not have the expected form."""
        try:
            rows, complete, identity = doc["members"], bool(doc["complete"]), doc.get("list")
            if complete:
                self.starts.replace_listed(str(m["id"]) for m in rows)
            members = tuple(self._member(m) for m in rows)
            if not complete:
                self.starts.update_listed(
                    [str(m.backend.id) for m in members],
                    [str(m.backend.id) for m in members if m.backend.state is State.GONE],
                )
            return Listing(
                int(doc["revision"]), complete, members, identity if isinstance(identity, str) else None
            )
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"list of backends: {type(error).__name__} {error}") from None

    def form(self, member: Member) -> dict[str, Any]:
        """The member as an entry of discovery's JSON; the inverse of `parse`."""
        backend = member.backend
        phase = next(name for name, state in STATES.items() if state is backend.state)
        return {
            "id": str(backend.id),
            "host_port": f"{member.address.host}:{member.address.port}",
            "phase": phase,
            "locality": next((name for name, index in self._zones.items() if index == backend.zone), None),
            "flavor": next((name for name, index in self._kinds.items() if index == backend.kind), None),
            "cell": backend.cell,
            "size": backend.capacity_hint,
            "up_since_ms": member.up_since_ms,
        }

    def _member(self, row: Any) -> Member:
        name, up_since_ms = str(row["id"]), int(row.get("up_since_ms") or 0)
        backend = Backend(
            name,
            STATES[row["phase"]],
            self._zones.get(row.get("locality"), 0),
            int(row.get("cell") or 0),
            self._kinds.get(row.get("flavor"), 0),
            float(row.get("size") or 1.0),
            self.starts.started_at(name, up_since_ms),
        )
        return Member(backend, parse_address(row["host_port"]), up_since_ms)
