"""State of one request: its deadlines, its samples and its attempts."""

from __future__ import annotations

from .interface import Effect, Group, RequestArrived, RequestClass
from .server_state import Server


class Request:
    """A request from its arrival until its final answer is given and all its attempts have ended.

    Times are in microseconds on the balancer's clock.
    """

    __slots__ = (
        "id",
        "cls",
        "number",
        "deadline",
        "aim_at",
        "low_priority",
        "sends",
        "in_flight",
        "may_have_run",
        "tried",
        "done",
        "random_fraction",
        "size",
        "work",
        "early_warmth",
        "early_cold_servers",
        "probed_pair",
        "unanswered_probes",
        "probed_pairs",
        "unprobed_pairs",
        "streamed",
        "streaming_attempt",
        "hedge_attempt",
    )

    def __init__(
        self,
        event: RequestArrived,
        request_class: RequestClass,
        now: int,
        random_fraction: float,
        size: float,
        work: float,
    ) -> None:
        self.id, self.cls, self.number = event.request, request_class, event.request_class
        self.deadline = now + event.patience_us
        self.aim_at = min(
            now + request_class.aim_us + int(request_class.aim_stretch * event.cost_us), self.deadline
        )
        self.low_priority = self.done = False
        # Uniform in 0..1 and drawn once: with a new number for each trial, a held request would be tried
        # again until a cold server admits it.
        self.random_fraction = random_fraction
        self.size = size  # its work as a multiple of the mean request's by its cost hint; 1: no hint
        self.work = work  # the same, but the mean of its class if there is no hint
        self.early_warmth = 0.0  # summed warmth of its early samples (see SlowStartBudget)
        self.early_cold_servers: list[Server] = []  # the cold servers among its early samples
        self.sends = self.probed_pairs = self.unprobed_pairs = 0
        self.hedge_attempt = -1  # the attempt sent while another was in flight; -1: none
        # Whether its body is streamed, and the attempt whose response is streamed (-1: none).
        self.streamed, self.streaming_attempt = event.streamed, -1
        # By attempt number: the server, the time of sending, and the server's expected load then.
        self.in_flight: dict[int, tuple[Server, int, float]] = {}
        # Attempts not proven never to have run: number, server, time of sending.
        self.may_have_run: list[tuple[int, Server, int]] = []
        self.tried: list[Server] = []
        self.probed_pair: tuple[Server, Server] | None = None  # samples being probed for their load
        self.unanswered_probes: list[Server] = []  # the samples that have not answered yet

    def may_refuse(self) -> bool:
        """Whether the request may be refused, which tells the client that a retry is safe."""
        request_class = self.cls
        return (
            not self.may_have_run
            or request_class.effect is Effect.SAFE
            or (request_class.effect is Effect.KEYED and request_class.group is Group.ALL)
        )
