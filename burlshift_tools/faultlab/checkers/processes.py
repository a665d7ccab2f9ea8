"""No process ends by itself, overstays SIGTERM or keeps what it no longer needs; its door is true."""

from __future__ import annotations

from collections import Counter

from .. import history as h
from .case import Breach, Case, Life

CALLER_US = 1_000_000  # a caller at the door waits so long
OVERSTAYED_US = 50_000
BAD_CONFIGURATION = 2  # the agent's exit status
SPARE_DESCRIPTORS = 8  # calls under way, discovery, and the loop's own
EMPTIED_US, REJOINED_US = 4_000_000, 2_000_000  # DAYS, Sending clients away
COUNT_SLACK, COUNT_SHARE = 3, 0.01  # DAYS, What the agent reports


def check(case: Case) -> list[Breach]:
    found: list[Breach] = []
    for who, lives in case.lives.items():
        if who.startswith("a"):
            for life in lives:
                found += _end(case, who, life)
            found += _descriptors(case, who)
            found += _log(case, who)
            found += _door(case, who)
            found += _counts(case, who)
            found += _health(case, who)
    return found


def _end(case: Case, agent: str, life: Life) -> list[Breach]:
    if life.ended > case.end:
        return []
    if not life.asked and _met_a_spoilt_file(case, agent, life):
        return []
    if not life.asked:
        what = f"process {life.number} ended by itself, status {life.status}"
        return [Breach("crash", life.ended, agent, what)]
    if life.stop > life.ended:
        return []  # killed
    if any(w.meets(life.stop, life.ended) for w in case.frozen(agent) if w.kind != "killed"):
        return []
    if life.ended - life.stop > life.kill_us - OVERSTAYED_US and life.status == -9:
        if any(w.meets(life.stop, life.ended) for w in case.faults(agent, ("hostile",))):
            return []  # each of a crowd is answered until SIGKILL, and long answers go on to their readers
        return [
            Breach(
                "crash",
                life.ended,
                agent,
                f"process {life.number} had not ended {life.kill_us / 1e6:g} s after SIGTERM",
            )
        ]
    if life.status != 0:
        what = f"process {life.number} ended with {life.status} on SIGTERM"
        return [Breach("crash", life.ended, agent, what)]
    return []


def _met_a_spoilt_file(case: Case, agent: str, life: Life) -> bool:
    """It has refused to start from a file that nobody can read, as it should."""
    return life.status == BAD_CONFIGURATION and any(
        w.detail.get("spoilt") and w.meets(life.begun, life.begun) for w in case.faults(agent, ("reload",))
    )


def _descriptors(case: Case, agent: str) -> list[Breach]:
    counts = [e for e in case.events if isinstance(e, h.Open) and e.who == agent]
    before = [e.count for e in counts if e.when == "ready"]
    if not before:
        return []
    return [
        Breach(
            "descriptors",
            e.t,
            agent,
            f"process {e.life} held {e.count} descriptors at the end, {min(before)} when it was ready",
        )
        for e in counts
        if e.when == "end" and e.count > min(before) + SPARE_DESCRIPTORS
    ]


def _log(case: Case, agent: str) -> list[Breach]:
    return [
        Breach("traceback", e.t, agent, f"{e.tracebacks} tracebacks in its log, the first: {e.first}")
        for e in case.events
        if isinstance(e, h.Logged) and e.who == agent and e.tracebacks
    ]


def _door(case: Case, agent: str) -> list[Breach]:
    """Answered within a second while the process is there and can be reached."""
    found = []
    excuses = case.frozen(agent) + case.faults(agent, ("descriptors", "upgrade"))
    for call in case.door[agent]:
        life = next((one for one in case.lives[agent] if one.number == call.life), None)
        if life is None or life.ready > call.asked or min(life.ended, life.stop) < call.t:
            continue
        if any(w.meets(call.asked, call.t) for w in excuses):
            continue
        waited = call.t - call.asked
        if not call.answer or waited > CALLER_US:
            found.append(Breach("door", call.t, agent, f"{call.call}: no answer within a second"))
        elif call.call == "INFO" and not call.answer.endswith("END\n"):
            found.append(Breach("door", call.t, agent, "INFO: figures without their END"))
        elif call.call != "INFO" and not call.answer.startswith("OK"):
            found.append(Breach("door", call.t, agent, f"{call.call}: {call.answer.strip()}"))
    return found


def _counts(case: Case, agent: str) -> list[Breach]:
    """At the end the counts are those of the clients, where one process served all day and was not struck."""
    lives = case.lives[agent]
    calls = [c for c in case.door[agent] if c.call == "INFO" and c.answer]
    if len(lives) != 1 or not calls or case.windows_of(agent):
        return []
    found, last = [], calls[-1]
    figures = dict(line.split("|")[0].split(":") for line in last.answer.splitlines() if "|" in line)
    mine = [x for x in case.exchanges.values() if x.asked.agent == agent]
    for index, c in enumerate(case.scenario.cls):
        of_class = [x for x in mine if x.asked.cls == index]
        seen = Counter(_end_of(x.end) for x in of_class)
        unsure = seen["gone"]
        for name in ("completed", "rejected", "failed"):
            told = int(figures.get(f"agent.{name}.{c.name}", "-1"))
            slack = max(COUNT_SLACK, COUNT_SHARE * seen[name]) + unsure
            if abs(told - seen[name]) > slack:
                found.append(
                    Breach(
                        "door", last.t, agent, f"INFO says {name}.{c.name} {told}, clients saw {seen[name]}"
                    )
                )
    return found


def _end_of(end: h.Answered | h.Unanswered | None) -> str:
    if not isinstance(end, h.Answered):
        return "gone"
    return "completed" if end.status == 200 else "rejected" if end.status in (429, 503) else "failed"


def _health(case: Case, agent: str) -> list[Breach]:
    """A drained agent says no, one that is back says yes."""
    looks = [e for e in case.events if isinstance(e, h.Health) and e.who == agent]
    found = []
    acts = [c for c in case.door[agent] if c.call in ("LAMEDUCK", "REJOIN") and c.answer.startswith("OK")]
    for i, act in enumerate(acts):
        until = acts[i + 1].asked if i + 1 < len(acts) else case.end
        lame = act.call == "LAMEDUCK"
        judged = act.t + (EMPTIED_US if lame else REJOINED_US)
        if judged >= until or any(w.meets(act.t, judged) for w in case.frozen(agent)):
            continue
        said = [e.status for e in looks if e.t <= judged]
        yes = not said or said[-1] == 200  # the front takes it for well until it hears a no
        if yes == lame:
            found.append(
                Breach(
                    "health", judged, agent, f"after {act.call} /_health says {'yes' if yes else 'no'} still"
                )
            )
    return found
