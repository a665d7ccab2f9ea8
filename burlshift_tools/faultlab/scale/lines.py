"""The lines of docs/CAPACITY.md: for each role what it holds, says and costs at the plan's size."""

from __future__ import annotations

from burlshift.agent.discovery import PUSH_WAIT_MS

from . import plan
from .plan import MINUTE_S, At, Line, Role

S, SHARE, BYTES_S = "s", "of a core", "bytes/s"
EACH_S = plan.CALLS_S / plan.SERVERS  # calls of one agent
OF_SERVICE = round(plan.SERVERS / plan.SERVICES)
REGION_ZONES = plan.ZONES / plan.REGIONS
TTL_S, LEASE_TURN_S = 10.0, 0.2  # docs/catalog.md's example; burlshift/catalog/leases.py, TICK_US


def plain(
    key: str, role: Role, what: str, slope: str, unit: str, limit: float | None = None, over: float = 1.0
) -> Line:
    """A slope at the fleet's size, divided."""
    words = f"`{slope}`" + (f" / {over:,g}" if over != 1 else "")
    return Line(key, role, what, words, unit, lambda a: a(slope) / over, limit)


def told(key: str, what: str, slope: str, role: Role = "list") -> Line:
    """Until all who must know do."""
    return plain(key, role, what, slope, S, plan.IN_FORCE_S, 1000)


def rest(a: At) -> float:
    return a("agent.idle_share") + a.changes_s * a("agent.change_ms") / 1000


def rest_bytes(a: At) -> float:
    return a("agent.rest_bytes_s") + a.changes_s * a("agent.change_bytes")


def minute(key: str, what: str, slope: str, times: float = 1.0) -> Line:
    """Processor time in a minute in which that happens."""
    words = f"mean + {f'{times:g} x ' if times != 1 else ''}`{slope}` / 60,000"
    return Line(
        key,
        "control",
        what,
        words,
        SHARE,
        lambda a: rest(a) + times * a(slope) / 1000 / MINUTE_S,
        plan.CONTROL_CORE,
    )


def minute_bytes(key: str, what: str, slope: str, times: float = 1.0) -> Line:
    words = f"mean + {f'{times:g} x ' if times != 1 else ''}`{slope}` / 60"
    return Line(
        key,
        "control",
        what,
        words,
        BYTES_S,
        lambda a: rest_bytes(a) + times * a(slope) / MINUTE_S,
        plan.CONTROL_BYTES_S,
    )


def by_all(a: At, share: str, seconds: float) -> float:
    """How long, where all had it in the time that they were given."""
    return seconds if a(share) == 1 else plan.NO_BOUND


CALL = (
    plain(
        "call.added_p99",
        "call",
        "added to a call, 99 in 100, with a list of all",
        "call.added_p99_ms_42",
        "ms",
        plan.ADDED_P99_MS,
    ),
    Line(
        "call.added_p99_service",
        "call",
        "the same with a list of one service",
        f"`call.added_p99_ms_42` at {OF_SERVICE} members (3,100 / 190)",
        "ms",
        lambda a: a("call.added_p99_ms_42", OF_SERVICE),
        plan.ADDED_P99_MS,
    ),
    Line(
        "deep.added_p99",
        "call",
        f"added to a call {plan.DEPTH} deep, 99 in 100; limit {plan.DEPTH} x 0.73",
        f"`deep.added_p99_ms` at depth {plan.DEPTH}",
        "ms",
        lambda a: a("deep.added_p99_ms", plan.DEPTH),
        plan.DEPTH * plan.ADDED_P99_MS,
    ),
    plain("call.added_p50", "call", "added to a call, median", "call.added_p50_ms_42", "ms"),
    plain("call.added_p999", "call", "added to a call, 999 in 1,000", "call.added_p999_ms_42", "ms"),
    plain(
        "call.added_p99_tenfold", "call", "99 in 100, at 420 calls/s an agent", "call.added_p99_ms_420", "ms"
    ),
    Line(
        "call.processor",
        "call",
        "the calls of one agent, 130,000 / 3,100 a second",
        "130,000 / 3,100 x `call.cpu_ms_42` / 1,000",
        SHARE,
        lambda a: EACH_S * a("call.cpu_ms_42") / 1000,
    ),
    plain("call.decision", "call", "a call's decisions, part of that", "decisions.request_us", "us"),
)

CONTROL = (
    plain(
        "agent.memory",
        "control",
        "an agent with a list of all, the program included",
        "agent.memory_mb",
        "MB",
        plan.CONTROL_MB,
    ),
    Line(
        "agent.processor_rest",
        "control",
        "mean: idle, and 0.139 changes/s",
        "`agent.idle_share` + 12,000 / 86,400 x `agent.change_ms` / 1,000",
        SHARE,
        rest,
        plan.CONTROL_CORE,
    ),
    minute("agent.processor_zone", "minute in which a zone goes, told at once", "agent.zone_change_ms"),
    minute("agent.processor_zone_singly", "the same, told one by one", "agent.zone_one_by_one_ms"),
    minute(
        "agent.processor_region_singly",
        "minute in which a region goes, told one by one",
        "agent.zone_one_by_one_ms",
        REGION_ZONES,
    ),
    minute("agent.processor_whole", "minute with one whole list", "agent.whole_list_ms"),
    Line(
        "agent.bytes_rest",
        "control",
        "mean: watches, and 0.139 changes/s",
        "`agent.rest_bytes_s` + 12,000 / 86,400 x `agent.change_bytes`",
        BYTES_S,
        rest_bytes,
        plan.CONTROL_BYTES_S,
    ),
    minute_bytes(
        "agent.bytes_zone_singly",
        "minute in which a zone goes, told one by one",
        "agent.zone_one_by_one_bytes",
    ),
    minute_bytes(
        "agent.bytes_region_singly",
        "minute in which a region goes, told one by one",
        "agent.zone_one_by_one_bytes",
        REGION_ZONES,
    ),
    minute_bytes("agent.bytes_whole", "minute with one whole list", "agent.whole_list_bytes"),
    plain(
        "agent.whole_budget",
        "control",
        "of its 7 KB/s that one whole list takes",
        "agent.whole_list_bytes",
        S,
        over=plan.CONTROL_BYTES_S,
    ),
    plain(
        "agent.longest_turn",
        "control",
        "calls wait while a whole list is taken in",
        "agent.longest_turn_ms",
        "ms",
    ),
)

LIST = (
    told(
        "list.one",
        "a change, until the last agent has it; the slowest of the changes",
        "fleet.one_last_worst_ms",
    ),
    told("list.zone", "a zone's members in one batch", "fleet.zone_last_ms"),
    told("list.zone_singly", "a zone's members one by one, from the first", "fleet.zone_single_last_ms"),
    told("list.region", "a region's members in one batch", "fleet.region_last_ms"),
    told("list.storm", "all ask for the whole list at once, until the last has it", "fleet.storm_last_ms"),
    Line(
        "list.restart",
        "list",
        "killed and started on its machine, until all are current",
        "(`fleet.restart_up_ms` + `fleet.restart_last_ms`) / 1,000",
        S,
        lambda a: (a("fleet.restart_up_ms") + a("fleet.restart_last_ms")) / 1000,
        plan.IN_FORCE_S,
    ),
    Line(
        "list.pause",
        "list",
        "paused 60 s, from its going on until all are current",
        "`fleet.pause_last_ms` / 1,000",
        S,
        lambda a: a.figure("fleet.pause_last_ms", "fleet.one_last_worst_ms") / 1000,
        plan.IN_FORCE_S,
    ),
    told("list.joined", "a region joined again, until all of it are current", "fleet.joined_last_ms"),
    Line(
        "list.machine_gone",
        "list",
        "its machine gone, until changes are taken again",
        "nothing starts it elsewhere: an operator restores a backup there",
        S,
        lambda _a: plan.NO_BOUND,
        plan.IN_FORCE_S,
    ),
    Line(
        "list.gone_readers",
        "list",
        "its machine gone: until all agents that ask anew have the list",
        "13, no bound where `replicas.before_share` is under 1",
        S,
        lambda a: by_all(a, "replicas.before_share", plan.IN_FORCE_S),
        plan.IN_FORCE_S,
    ),
    Line(
        "list.machine_days",
        "list",
        "between two failures or restarts of the one machine that it is on",
        "3,100 / (11 + 240)",
        "days",
        lambda _a: plan.SERVERS / (plan.FAILED_DAY + plan.RESTARTED_DAY),
    ),
    Line(
        "list.calls_rest",
        "list",
        "watches begun again, nothing going on",
        f"n / {PUSH_WAIT_MS / 1000:g} s",
        "calls/s",
        lambda a: a.fleet / (PUSH_WAIT_MS / 1000),
    ),
    Line(
        "list.bytes_rest",
        "list",
        "sent, nothing going on",
        "n x `fleet.rest_bytes`",
        BYTES_S,
        lambda a: a.fleet * a("fleet.rest_bytes"),
    ),
    plain("list.storm_bytes", "list", "whole lists to all, worst minute", "fleet.storm_total_mb", "MB"),
    plain("list.storm_failed", "list", "calls cut off in it and made again", "fleet.storm_failed", "calls"),
    Line(
        "list.zone_bytes",
        "list",
        "a zone's members in one batch, to all",
        "n x `fleet.zone_bytes` / 1,000,000",
        "MB",
        lambda a: a.fleet * a("fleet.zone_bytes") / 1e6,
    ),
    plain("list.cores_rest", "list", "nothing going on", "fleet.rest_service_cores", SHARE),
    plain(
        "list.cores_leases",
        "list",
        "leases of all renewed each 3.3 s, watches beside them",
        "fleet.leases_service_cores",
        SHARE,
    ),
    plain(
        "list.storm_work",
        "list",
        "processor time for whole lists to all",
        "fleet.storm_service_ms",
        S,
        over=1000,
    ),
    plain("list.memory", "list", "with all agents watching", "fleet.service_mb", "MB"),
    plain(
        "list.state", "list", "entries of all servers, as a whole list", "fleet.whole_bytes", "kB", over=1000
    ),
    Line(
        "list.lease_zone",
        "list",
        "a zone dies: until all have the last of it DRAINING, leases of 10 s",
        "10 + 0.2 + `fleet.zone_single_last_ms` / 1,000",
        S,
        lambda a: TTL_S + LEASE_TURN_S + a("fleet.zone_single_last_ms") / 1000,
    ),
)

FOLLOWER = (
    Line(
        "follower.gone_readers",
        "follower",
        "the same with followers, the service's machine still gone",
        "`replicas.after_last_ms` / 1,000, no bound where `replicas.after_share` is under 1",
        S,
        lambda a: by_all(a, "replicas.after_share", a("replicas.after_last_ms") / 1000),
        plan.IN_FORCE_S,
    ),
    Line(
        "follower.last_change",
        "follower",
        "a change, the service killed right after its yes",
        "13, no bound where `replicas.last_change_share` is under 1",
        S,
        lambda a: by_all(a, "replicas.last_change_share", plan.IN_FORCE_S),
        plan.IN_FORCE_S,
    ),
    told(
        "follower.one",
        "a change, until the last agent at a follower has it",
        "replicas.one_last_ms",
        "follower",
    ),
    told(
        "follower.back",
        "the service back, a change, until the last agent has it",
        "replicas.back_last_ms",
        "follower",
    ),
    Line(
        "follower.machines",
        "follower",
        "the list service, and a follower in each zone",
        "1 + 12",
        "machines",
        lambda _a: 1 + plan.ZONES,
        plan.CONTROL_MACHINES,
    ),
    plain(
        "follower.memory", "follower", "with its part of the agents watching", "replicas.follower_mb", "MB"
    ),
    plain(
        "follower.cores",
        "follower",
        "nothing going on, its part of the agents watching",
        "replicas.follower_cores",
        SHARE,
    ),
    plain(
        "follower.leader_cores",
        "follower",
        "the list service, nothing going on, followers alone watching",
        "replicas.leader_cores",
        SHARE,
    ),
)

MEMBERSHIP = (
    plain(
        "membership.bytes_rest",
        "membership",
        "sent by one member at rest",
        "membership.rest_bytes_s",
        BYTES_S,
        plan.CONTROL_BYTES_S,
    ),
    plain(
        "membership.memory",
        "membership",
        "one member that knows all",
        "membership.memory_mb",
        "MB",
        plan.CONTROL_MB,
    ),
    plain(
        "membership.processor",
        "membership",
        "one member at rest, without its sockets",
        "membership.idle_share",
        SHARE,
        plan.CONTROL_CORE,
    ),
    Line(
        "membership.one_death",
        "membership",
        "until 99% know of one death; breaks by 13 s",
        "`membership.one_death_s`",
        S,
        lambda a: a("membership.one_death_s"),
        yardstick=plan.IN_FORCE_S,
    ),
    Line(
        "membership.zone_death",
        "membership",
        "until 99% of pairs know of a zone's deaths; breaks by 13 s",
        "`membership.zone_death_s`",
        S,
        lambda a: a("membership.zone_death_s"),
        yardstick=plan.IN_FORCE_S,
    ),
    plain(
        "membership.zone_share",
        "membership",
        "pairs that know of a zone's deaths after 13 s",
        "membership.zone_death_share_13s",
        "of 1",
    ),
)

LINES: tuple[Line, ...] = (*CALL, *CONTROL, *LIST, *FOLLOWER, *MEMBERSHIP)
