"""Days that the operators' simulator has drawn, as scenarios: the same servers, agents, load and troubles.

For trust: the same day can be played in both. What the file pins and a scenario leaves to the seed (which
servers a neighbour sits on) is drawn by the seed.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from .scenario import AgentPlan, ScenarioError, ServerPlan, Span, convert

MS, S = 1e3, 1e6


def load(path: Path) -> Span:
    """Read a day file in JSON. Raises ScenarioError."""
    try:
        day = msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
    except OSError as e:
        raise ScenarioError(f"{path}: cannot be read ({e.strerror}); give a file that exists") from None
    except msgspec.DecodeError as e:
        raise ScenarioError(f"{path}: is no day in JSON: {e}; draw it anew") from None
    try:
        tables, servers, agents = _tables(path.stem, day)
    except (KeyError, IndexError, TypeError) as e:
        raise ScenarioError(f"{path}: lacks what a day has: {type(e).__name__} {e}; draw it anew") from None
    scenario = convert(tables, path)
    kinds = {k.name: k for k in scenario.kind}
    names = [k["name"] for k in day["tiers"][0]["kinds"]]
    plans = [
        ServerPlan(kinds[names[s["kind"]]], s["kind"], s["zone"], s["cell"], s["speed"]) for s in servers
    ]
    return Span(scenario, scenario, plans, [AgentPlan(a["zone"], a["weight"]) for a in agents])


def _tables(name: str, d: dict[str, Any]) -> tuple[dict[str, Any], list[Any], list[Any]]:
    tier, traffic, clients, found = d["tiers"][0], d["traffic"], d["clients"], d["discovery"]
    allow, goal, prices, fam = d["allow"], d["goal"], d["prices"], d["fam"]
    servers = [s for s in d["servers"] if s["up"]]
    agents = d["balancers"]
    cores = tier["kinds"][0]["cores"]
    return (
        {
            "about": f"the day {name}",
            "run": {"length_s": d["length"] / S, "tail_s": d["tail"] / S, "tick_ms": d["tick"] / MS},
            "fleet": {"servers": len(servers), "agents": len(agents), "zones": d["zones"]},
            "load": {
                "share": traffic["load"],
                "swing": traffic["burst_cv"],
                "swing_ms": traffic["burst_ms"] or 300.0,
                "keys": traffic["keys"] or 1,
                "key_zipf": traffic["key_zipf"],
            },
            "network": {
                "same_ms": d["net"]["same"] / MS,
                "cross_ms": d["net"]["cross"] / MS,
                "jitter": d["net"]["jitter"],
            },
            "clients": {
                "retries": int(clients["retries"]),
                "try_share": clients["try_share"],
                "honour": clients["honour"],
                "backoff_ms": clients["backoff_us"] / MS,
                "backoff": "none" if clients["backoff"] == "none" else "fixed",
                "impatient": clients["impatient"],
            },
            "discovery": {
                "mode": "ask" if found["ask"] else "push",
                "add_s": found["add"] / S,
                "notice_s": found["notice"] / S,
                "silent_notice_s": found["silent_notice"] / S,
                "period_ms": found["period"] / MS,
                "spread_ms": found["spread"] / MS,
            },
            "allow": {
                "probes": allow["probes"],
                "peers": allow["peers"],
                "cancel": allow["cancel"],
                "second_copies": allow["second_copies"],
                "retry_after": allow["retry_after"],
                "max_attempts": allow["max_attempts"],
                "peer_ms": allow["peer_delay"] / MS,
                "max_retry_after_ms": clients["max_retry_after"] / MS,
            },
            "rules": {
                "drain_grace_ms": d["drain_grace"] / MS,
                "fall_multiple": d["fall_multiple"],
                "fall_ms": d["fall_for"] / MS,
                "start_fraction": tier["stated_cold_from"],
                "warm_s": tier["stated_cold"] / S,
            },
            "goal": {
                "whole": goal["whole"],
                "worst_window": goal["worst_window"],
                "worst_class": goal["worst_class"],
            },
            "prices": {name: prices[name] for name in ("cross_zone", "waste", "late_fail", "probe", "peer")},
            "report": {
                "fields": tier["report_fields"],
                "period_ms": tier["report_period"] / MS,
                "delay_ms": tier["report_delay"] / MS,
                "noise": tier["report_noise"],
            },
            "connections": {
                "handshake_rtts": tier["handshake_rtts"],
                "handshake_us": tier["handshake_work"],
                "idle_s": tier["conn_idle"] / S,
                "connect_timeout_ms": tier["connect_timeout"] / MS,
                "cap_per_core": tier["conn_cap_per_core"],
                "full_tax": tier["conn_full_tax"],
            },
            "probing": {
                "work_us": tier["probe_work"],
                "cap_per_core": tier["probe_cap_per_core"],
                "deep": tier["probe_deep"],
                "timeout_ms": tier["probe_timeout"] / MS,
            },
            "cache": {
                "gain": fam["affinity_gain"] if traffic["keys"] else 0.0,
                "seconds": fam["affinity_s"],
                "keys_per_core": fam["affinity_keys_per_core"],
            },
            "kind": [
                {
                    "name": k["name"],
                    "share": 1.0,
                    "cores": k["cores"],
                    "speed": 1.0,
                    "slots_per_core": k["slots"] / cores,
                    "queue_per_core": k["queue"] / cores,
                    "thrash": k["thrash"],
                    "thrash_at": k["knee"] / cores,
                    "cold_from": k["cold_from"],
                    "cold_s": k["cold"] / S,
                    "warm_by": "requests" if k["warm_by_requests"] else "time",
                    "pause_every_s": k["pause_every"] / S,
                    "pause_ms": k["pause"] / MS,
                    "pause_grow": k["pause_grow"],
                    "error_rate": k["error_rate"],
                    "cancel": k["cancel"],
                }
                for k in tier["kinds"]
            ],
            "class": [
                {
                    "name": c["name"],
                    "share": c["share"],
                    "work_ms": c["work"] / MS,
                    "dist": c["dist"],
                    "cv": c["cv"],
                    "attempt_noise": c["attempt_noise"],
                    "aim_ms": c["aim"] / MS,
                    "deadline_ms": c["deadline"] / MS,
                    "worth": c["worth"],
                    "late_worth": c["late_worth"],
                    "effect": c["effect"],
                    "group": c["group"],
                    "window_ms": c["window"] / MS,
                }
                for c in d["classes"]
            ],
            "trouble": [_trouble(t, len(servers), len(agents)) for t in d["troubles"]],
        },
        servers,
        agents,
    )


def _trouble(t: dict[str, Any], servers: int, agents: int) -> dict[str, Any]:
    when = {"at_s": t["at"] / S, "len_s": t["len"] / S}
    if t["kind"] == "burst":
        return {"what": "burst", **when, "size": t["size"], "rise_s": t["extra"]}
    if t["kind"] == "neighbour":
        return {
            "what": "neighbour",
            **when,
            "part": len(t["on"]) / servers,
            "taken": t["size"],
            "on_off_s": t["extra"],
        }
    if t["kind"] == "heavy_tail":
        return {"what": "heavy_tail", **when, "size": t["size"], "share": t["extra"]}
    if t["kind"] == "balancer_roll":
        stopped = sum(len(step["stop"]) for step in t["steps"])
        return {
            "what": "agent_roll",
            **when,
            "part": stopped / agents,
            "batch": 1 / agents,
            "down_s": t["extra"],
        }
    if t["kind"] == "shared_slow":
        return {"what": "shared_slow", **when, "size": t["size"]}
    raise KeyError(t["kind"])
