"""Reads and checks the configuration file that RELAY_CONFIG names."""

from __future__ import annotations

import json
import resource
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

from burlshift.balancing.interface import Settings
from burlshift.balancing.settings import SettingsError, settings_from

from .clock import Clock
from .listing import Address, Listing, ListingParser, parse_address, parse_addresses
from .peers_config import PeersConfig

T = TypeVar("T")
DRAIN_GRACE_US = 1_000_000  # default of drainGraceUs
DEFAULT_SOCKETS = 1024  # default of limits.sockets
DEFAULT_MEMORY_MB = 32  # default of limits.memory_mb


class ConfigError(Exception):
    """The configuration is missing or invalid; the text says in one line what is wrong."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of an agent, checked and typed."""

    name: str
    listen: Address
    discovery: tuple[Address, ...]  # one, or several that serve the same list
    seed: int
    sockets: int  # file descriptors this process may hold
    memory_bytes: int  # over which the process is killed
    known: Listing  # the list of backends to start with
    parser: ListingParser
    settings: Settings
    connect_timeout_us: int
    conn_idle_us: int
    drain_grace_us: int  # how long a backend may get requests after discovery lists it as draining
    control: Address | None  # of the admin interface; None: there is none
    hold_missing: bool  # remove backends in steps if a full list lacks most of them at once
    peers: PeersConfig | None  # the other agents; None: no messages are exchanged with them


def load(env: Mapping[str, str], clock: Clock) -> Config:
    """Read the file that RELAY_CONFIG names. Raises ConfigError."""
    return _read(env, lambda doc: _config(doc, env, clock))


def reload_discovery(env: Mapping[str, str]) -> tuple[Address, ...]:
    """Read the addresses of discovery from the file again. Raises ConfigError.

    RELAY_DISCOVERY is not considered: the environment of the process is still that of its start.
    """
    return _read(env, lambda doc: parse_addresses(doc["discovery"]))


def _read(env: Mapping[str, str], convert: Callable[[Any], T]) -> T:
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        return convert(json.loads(Path(path).read_text()))
    except KeyError as error:
        raise ConfigError(f"RELAY_CONFIG: {error} is missing") from None
    except (OSError, TypeError, AttributeError, ValueError, OverflowError, SettingsError) as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from None


def _discovery(env: Mapping[str, str], doc: dict[str, Any]) -> str | list[str]:
    """The address or addresses in the file, or RELAY_DISCOVERY if it has none: a new configuration replaces
    the file, while a process that is started later may get the environment of an earlier one."""
    configured: str | list[str] | None = doc.get("discovery") or env.get("RELAY_DISCOVERY")
    if not configured:
        raise KeyError("discovery")
    return configured


def _sockets(configured: int) -> int:
    """The configured number of descriptors, or RLIMIT_NOFILE if that is lower.

    A higher number would let clients use up the descriptors that discovery needs.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if allowed == resource.RLIM_INFINITY else min(configured, allowed)


def _flag(doc: dict[str, Any], key: str) -> bool:
    value = doc.get(key, False)
    if not isinstance(value, bool):
        raise ValueError(f"{key}: {value!r} is neither true nor false")
    return value


def _peers(doc: dict[str, Any], settings_doc: dict[str, Any]) -> PeersConfig:
    """The settings of membership between agents: the platform gives their addresses, `membership` gives the
    fleet's name and the key that authenticates their messages."""
    from burlshift.membership.wire import MAX_KEY_BYTES  # loaded by agents that use membership alone

    membership, siblings = doc["membership"], int(settings_doc["siblings"])
    if not isinstance(membership, dict) or set(membership) - {"fleet", "key"}:
        raise ValueError("membership: must be an object with fleet and, optionally, key")
    fleet, key = membership.get("fleet"), membership.get("key", "")
    if not isinstance(fleet, str) or not fleet:
        raise ValueError("membership.fleet: name the fleet, the same for all its agents")
    if not isinstance(key, str) or len(key.encode()) > MAX_KEY_BYTES:
        raise ValueError(f"membership.key: is no text of {MAX_KEY_BYTES} bytes at most")
    if not settings_doc["allowed"].get("peers"):
        raise ValueError("membership: the settings do not allow peers; take it out")
    peers = tuple(parse_address(text) for text in doc["peers"])
    if len(peers) != siblings:
        raise ValueError(f"peers: {len(peers)} addresses for {siblings} agents")
    return PeersConfig(
        parse_address(doc["peer_listen"]),
        peers,
        int(settings_doc.get("me", 0)),
        fleet,
        key.encode(),
        float(settings_doc.get("prices", {}).get("peer", 0.0)),
    )


def _config(doc: dict[str, Any], env: Mapping[str, str], clock: Clock) -> Config:
    settings_doc = doc["settings"]
    allowed = settings_doc["allowed"]
    limits = doc.get("limits") or {}
    control = env.get("RELAY_CONTROL") or doc.get("control")
    parser = ListingParser(
        clock, tuple(settings_doc.get("localities") or ()), tuple(settings_doc.get("skus") or ())
    )
    return Config(
        name=str(doc.get("name") or env.get("RELAY_NAME") or ""),
        listen=parse_address(env.get("RELAY_LISTEN") or doc["listen"]),
        discovery=parse_addresses(_discovery(env, doc)),
        seed=int(doc["seed"], 16),
        sockets=_sockets(int(limits.get("sockets") or DEFAULT_SOCKETS)),
        memory_bytes=int(limits.get("memory_mb") or DEFAULT_MEMORY_MB) * 1024 * 1024,
        known=parser.parse(doc["known"]),
        parser=parser,
        # Peers exchange membership and no loads, so the policy must not rely on load reports from them.
        settings=replace(settings_from(settings_doc), can_tell=False),
        connect_timeout_us=int(allowed["connectTimeoutUs"]),
        conn_idle_us=int(allowed["connIdleUs"]),
        drain_grace_us=int(settings_doc["rules"].get("drainGraceUs") or DRAIN_GRACE_US),
        control=parse_address(control) if control else None,
        hold_missing=_flag(doc, "hold_missing"),
        peers=_peers(doc, settings_doc) if "membership" in doc else None,
    )
