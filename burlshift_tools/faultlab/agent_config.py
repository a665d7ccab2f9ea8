"""What an agent of the rig is told: DEPLOY's configuration file, from a scenario."""

from __future__ import annotations

from typing import Any

from .addresses import Block
from .scenario import LabScenario

EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
FLEET, KEY = "faultlab", "of the rig"


def settings(s: LabScenario, agent: int, zone: int) -> dict[str, Any]:
    """The settings of the wire (WIRE, The settings)."""
    return {
        "allowed": {
            "cancel": s.allow.cancel,
            "connIdleUs": int(s.connections.idle_s * 1e6),
            "connectTimeoutUs": int(s.connections.connect_timeout_ms * 1000),
            "maxAttempts": s.allow.max_attempts,
            "maxRetryAfterUs": int(s.allow.max_retry_after_ms * 1000),
            "peers": s.allow.peers,
            "probes": s.allow.probes,
            "retryAfter": s.allow.retry_after,
            "secondCopies": s.allow.second_copies,
        },
        "profiles": [
            {
                "name": c.name,
                "aimUs": int(c.aim_ms * 1000),
                "deadlineUs": int(c.deadline_ms * 1000),
                "repeat": EFFECTS[c.effect],
                "dedupScope": c.group,
                "memorySpanUs": int(c.window_ms * 1000),
                "value": c.worth,
                "lateWorth": c.late_worth,
            }
            for c in s.cls
        ],
        "tenants": [],
        "prices": {
            "crossZone": s.prices.cross_zone,
            "waste": s.prices.waste,
            "lateFail": s.prices.late_fail,
            "probe": s.prices.probe,
            "peer": s.prices.peer,
        },
        "report": {"columns": list(s.report.fields), "source": "inline"},
        "rules": {
            "startCapacity": s.rules.start_fraction,
            "warmUpUs": int(s.rules.warm_s * 1e6),
            "fallMultiple": s.rules.fall_multiple,
            "tipAfterUs": int(s.rules.fall_ms * 1000),
            "drainGraceUs": int(s.rules.drain_grace_ms * 1000),
            "graceToAnswerUs": int(s.rules.answer_slack_ms * 1000),
        },
        "siblings": s.fleet.agents,
        "me": agent,
        "registryMode": s.discovery.mode,
        "quantumUs": int(s.run.tick_ms * 1000),
        "localities": list(s.fleet.zones),
        "skus": [k.name for k in s.kind],
        "zone": zone,
    }


def document(
    s: LabScenario, block: Block, agent: int, zone: int, seed: int, discovery: int, known: dict[str, Any]
) -> dict[str, Any]:
    """The whole file; `discovery` is which of discovery's addresses it names.

    Where there are followers it names all of them, the next agent another one first.
    """
    followers = [block.asks(agent, 1 + (agent + k) % s.followers) for k in range(s.followers)]
    membership = {"membership": {"fleet": FLEET, "key": KEY}} if s.membership else {}
    return {
        **membership,
        "name": f"a{agent}",
        "listen": block.agent(agent),
        "discovery": followers or block.asks(agent, discovery),
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": s.memory_mb, "sockets": s.sockets},
        "peer_listen": block.hears(agent),
        "peers": [
            block.peer(agent, other) if other != agent else block.hears(agent)
            for other in range(s.fleet.agents)
        ],
        "known": known,
        "settings": settings(s, agent, zone),
    }
