"""What an agent has to know to communicate with the other agents."""

from __future__ import annotations

from dataclasses import dataclass

from .listing import Address


@dataclass(slots=True, frozen=True)
class PeersConfig:
    """The addresses of the agents, by number; `fleet` and `key` identify their datagrams."""

    listen: Address
    peers: tuple[Address, ...]
    me: int
    fleet: str
    key: bytes
    price: float  # of 256 bytes a request, as a share of the goal; 0: free
