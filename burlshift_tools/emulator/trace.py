"""A record of one run: what an agent saw, what was true, and why it decided as it did.

One JSON object a line. The first is a header; then `arrived`, `decided`, `ended` (an attempt), `concluded` (a
try) and `log`, in the order of the run's clock (us from its start). Only runs that ask for it are recorded.
"""

from __future__ import annotations

from pathlib import Path
from typing import IO, TYPE_CHECKING, Any

import msgspec

from burlshift.balancing import interface, logic
from burlshift.balancing.logic import Balancer
from burlshift.balancing.request_state import Request
from burlshift.balancing.server_state import Server

if TYPE_CHECKING:
    from .agents import Host
    from .requests import Attempt, Try
    from .world import World

VERSION = 1


class Trace:
    """Writes the record to a file as the run goes; nothing of it is kept in memory."""

    def __init__(self, path: Path, about: dict[str, Any]) -> None:
        self.path = path
        self._file: IO[bytes] = path.open("wb")
        self._encoder = msgspec.json.Encoder()
        self._about = about
        self.world: World | None = None

    def watch(self, world: World) -> None:
        self.world = world
        self._write(
            {
                "fleetsim_trace": VERSION,
                **self._about,
                "classes": [c.name for c in world.s.cls],
                "aims_ms": [c.aim_ms for c in world.s.cls],
                "agents": len(world.day.agents),
                "servers": len(world.day.servers),
            }
        )

    def follow(self, balancer: Balancer, agent: int) -> None:
        """Have a balancer of class Tracing say what it does."""
        assert isinstance(balancer, Tracing)
        balancer.trace, balancer.agent = self, agent

    def close(self) -> None:
        self._file.close()

    def _write(self, what: dict[str, Any]) -> None:
        self._file.write(self._encoder.encode(what))
        self._file.write(b"\n")

    def note(self, event: str, agent: int, request: int, **what: Any) -> None:
        assert self.world is not None
        self._write(
            {
                "t": self.world.engine.now - self.world.start,
                "event": event,
                "agent": agent,
                "request": request,
                **what,
            }
        )

    def arrived(self, host: Host, t: Try) -> None:
        self.note(
            "arrived",
            host.index,
            t.id,
            cls=t.first.cls,
            try_=t.first.tries,
            key=t.first.key,
            work_ms=t.first.work / 1000,
            patience_ms=(t.until - host.world.engine.now) / 1000,
        )

    def attempt_ended(self, host: Host, attempt: Attempt, outcome: str, took: int) -> None:
        self.note(
            "ended",
            host.index,
            attempt.try_.id,
            cls=attempt.try_.first.cls,
            attempt=attempt.number,
            server=attempt.server.id,
            outcome=outcome,
            took_ms=took / 1000,
            asked_ms=attempt.asked / 1000,
        )

    def concluded(self, host: Host, t: Try, how: str) -> None:
        self.note(
            "concluded",
            host.index,
            t.id,
            cls=t.first.cls,
            how=how,
            since_first_ms=(host.world.engine.now - t.first.at) / 1000,
        )

    def logged(self, host: Host, text: str) -> None:
        self.note("log", host.index, 0, text=text)

    def truth(self, name: str, zone: int) -> dict[str, Any]:
        """A server as it is now: what it holds, and about how long one more mean request would take there."""
        assert self.world is not None
        world, server = self.world, self.world.servers[name]
        if not world.answers(server, zone):
            return {"true_held": server.held, "true_ms": None}
        # Shared by all in work once there are more of them than cores.
        alone = world.day.mean_work * server.cores / max(1e-9, server.capacity())
        return {
            "true_held": server.held,
            "true_ms": round(alone * max(1.0, (server.held + 1) / server.cores) / 1000, 1),
        }


class Tracing(Balancer):
    """The real decisions, which also say what they looked at. Each override calls what it stands for."""

    trace: Trace
    agent: int

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        self.looked: dict[str, dict[str, Any]] = {}  # what one decision is made of
        return super().handle(now, event)

    def _advance(self, request: Request) -> None:
        self.looked = {}
        self.acted = ""
        super()._advance(request)
        if not self.acted:
            self._say(request, "hold" if request.probed_pair is None else "ask")

    def _say(self, request: Request, act: str, **what: Any) -> None:
        self.acted = act
        self.trace.note(
            "decided",
            self.agent,
            request.id,
            act=act,
            cls=self.settings.classes.index(request.cls),
            retry=request.low_priority,
            left_ms=(request.aim_at - self.now) / 1000,
            ready=len(self.ready),
            looked=list(self.looked.values()),
            **what,
        )

    def _look(self, request: Request, server: Server) -> dict[str, Any]:
        seen = self.looked.get(str(server.id))
        if seen is None:
            others = self.table.load_of_others(server, self.now)
            own = server.own_load(self.now)
            seen = self.looked[str(server.id)] = {
                "server": str(server.id),
                "own": round(own, 2),
                "others": round(others, 2),
                "pace_ms": round(server.time_per_load / 1000, 2),
                "warmth": round(self.slow_start.warmth(server, self.now), 3),
                "age_ms": (self.now - server.reported_at) // 1000 if server.reported_at else None,
                "predicted_ms": round(
                    (own + others + request.size) * server.time_per_load * self._need(request) / 1000, 1
                ),
                "verdict": "tried" if server in request.tried else "fit",
                **self.trace.truth(str(server.id), self.settings.zone),
            }
        return seen

    def _admits(self, request: Request, server: Server) -> bool:
        admitted = super()._admits(request, server)
        seen = self._look(request, server)
        if not admitted:
            cold = self.slow_start.admits(
                server, self.now, request, self.probes_samples, self.table.mean_load
            )
            well = self.health.admits(server, self.now, self.table.typical_latency)
            seen["verdict"] = "ill" if not well else "cold" if not cold else "unheard"
        return admitted

    def _can_answer_in_time(
        self, request: Request, server: Server, limit: float, time_left: int, final_limit: bool
    ) -> bool:
        hopeful = super()._can_answer_in_time(request, server, limit, time_left, final_limit)
        seen = self._look(request, server)
        seen["limit_ms"] = round(limit * self._need(request) / 1000, 1) if limit != float("inf") else None
        seen["verdict"] = "fit" if hopeful else "full"
        return hopeful

    def _need(self, request: Request) -> float:
        """What its class asks for: the decisions reckon with the mean request's time."""
        return self.work_estimates.relative_work[request.number]

    def _rank(self, server: Server) -> float:
        rank = super()._rank(server)
        if hasattr(self, "ranks"):
            self.ranks.append(rank)
        return rank

    def _less_loaded(self, request: Request, pair: tuple[Server, Server]) -> tuple[Server, float]:
        self.ranks: list[float] = []
        chosen = super()._less_loaded(request, pair)
        for server, rank in zip(pair, self.ranks, strict=True):
            seen = self._look(request, server)
            seen["rank_ms"] = round(rank / 1000, 1)
            seen["band"] = sum(rank >= cut for cut in self.table.band_cutoffs)
        del self.ranks
        return chosen

    def _send(self, request: Request, server: Server, load: float) -> None:
        number = request.sends
        super()._send(request, server, load)
        predicted = load * server.time_per_load * self._need(request)
        self._say(
            request,
            "send",
            server=str(server.id),
            attempt=number,
            predicted_ms=round(predicted / 1000, 1),
            **self.trace.truth(str(server.id), self.settings.zone),
        )

    def _finish(self, request: Request) -> None:
        best = min(
            (
                true_state["true_ms"]
                for server in self.ready
                if (true_state := self.trace.truth(str(server.id), self.settings.zone))["true_ms"] is not None
            ),
            default=None,
        )
        self._say(
            request,
            "refuse" if request.may_refuse() else "fail",
            best_true_ms=best,
            sends=request.sends,
            pace_ms=round(self.table.time_per_load / 1000, 2),
            typical_ms=round(self.table.typical_latency / 1000, 1),
            budget=round(self.retry_budget, 2),
            headroom=logic.HEADROOM,
        )
        super()._finish(request)
