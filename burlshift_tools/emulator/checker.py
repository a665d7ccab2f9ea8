"""The four rules (WIRE, four things never to do) held against the truth; requests lost or run twice."""

from __future__ import annotations

from dataclasses import dataclass, field

from burlshift.balancing.interface import Effect, RequestClass

from .requests import Attempt, Try
from .servers import Server

ANSWERED, REPEATED, DRAINED, PUSHED_OVER, MALFORMED = (
    "every request answered",
    "no repeated effect",
    "orderly draining",
    "orderly fail-back",
    "malformed action",
)
KNOWING = 2 / 3  # of the pressure from agents who knew of the start: then the rule is broken


@dataclass(slots=True)
class Checker:
    """Counts what was broken, and keeps the first case of each rule in words."""

    broken: dict[str, int] = field(default_factory=dict)
    first: dict[str, str] = field(default_factory=dict)

    def report(self, rule: str, now: int, what: str) -> None:
        self.broken[rule] = self.broken.get(rule, 0) + 1
        self.first.setdefault(rule, f"{now / 1e6:.3f} s: {what}")

    def sent(
        self,
        now: int,
        try_: Try,
        server: Server,
        c: RequestClass,
        told_at: int | None,
        grace: int,
        second_copies: bool,
    ) -> None:
        """An attempt leaves; told_at is when the agent was told that the server drains or is gone."""
        if not try_.may_send_to(server, now, c):
            self.report(REPEATED, now, f"request {try_.id} ({c.name}) sent again to {server.id}")
        if not second_copies and any(not a.ended for a in try_.out.values()):
            self.report(REPEATED, now, f"request {try_.id} has two attempts out where that is not allowed")
        if told_at is not None and now > told_at + grace:
            self.report(DRAINED, now, f"request {try_.id} sent to {server.id}, told {now - told_at} us ago")

    def refused(self, now: int, try_: Try, c: RequestClass) -> None:
        if not try_.may_refuse(c):
            self.report(REPEATED, now, f"request {try_.id} ({c.name}) refused though it may have run")

    def unanswered(self, now: int, try_: Try) -> None:
        self.report(ANSWERED, now, f"request {try_.id} has no final answer")

    def fell(self, now: int, server: Server) -> None:
        if server.fell_by is not None and server.fell_by >= KNOWING:
            self.report(PUSHED_OVER, now, f"server {server.id}, {server.fell_by:.0%} from agents who knew")
        server.fell_by = None

    def ran(self, now: int, attempt: Attempt, c: RequestClass) -> None:
        """A server carried a try out: an unsafe one never twice.

        What an agent held when it died falls to the client to repeat, as a try of its own.
        """
        t = attempt.try_
        t.runs += 1
        if t.runs > 1 and c.effect is Effect.UNSAFE:
            self.report(REPEATED, now, f"request {t.id} ({c.name}) ran {t.runs} times")

    def closed(self, now: int, open_firsts: int) -> None:
        """The run is over: nobody may still wait."""
        if open_firsts:
            self.report(ANSWERED, now, f"{open_firsts} requests lost")
