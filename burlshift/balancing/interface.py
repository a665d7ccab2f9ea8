"""Interface of the balancing policy: its settings, the events it takes and the actions it returns.

All times are integer microseconds on one monotonic clock that the caller passes in. A backend id may be any
hashable value; actions return it unmodified.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum
from math import isfinite

BackendId = Hashable
# A balancer counts as informed of a change this long (microseconds) after discovery had it and was reachable,
# whatever became of its earlier calls (the operators' definition).
CHANGE_NOTICE_LIMIT_US = 6_000_000


class Effect(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"  # may be repeated without limit
    KEYED = "keyed"  # a group of backends drops repeats for a limited time
    UNSAFE = "unsafe"  # must not run twice


class Group(Enum):
    """The backends within which repeats of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """State of a backend in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a BackendsChanged event applies to the list known so far."""

    CACHED = "cached"  # the full list as last stored, perhaps stale; always the first event
    FULL = "full"  # the full list; backends missing from it are gone
    DELTA = "delta"  # only the entries that changed
    FAILED = "failed"  # a Watch or Fetch failed, or the watch dropped


class Discovery(Enum):
    """How changes of the backend list reach the balancer."""

    PUSH = "push"  # changes arrive unrequested
    ASK = "ask"  # changes arrive only in answer to Watch or Fetch


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the backend reported an error; may have run
    REJECTED = "rejected"  # rejected before processing; never ran
    TIMEOUT = "timeout"  # no response in time; may have run or still be running
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # the connection was lost; may have run
    CANCELLED = "cancelled"  # may have run or still be running
    NOT_SENT = "not_sent"  # not written to a connection; never ran


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


def _require(condition: bool, name: str, message: str) -> None:
    if not condition:
        raise ValueError(f"{name}: {message}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests. `worth` is in the caller's units. Raises ValueError if out of range."""

    name: str
    aim_us: int  # a response within this time earns the full worth
    deadline_us: int  # how long the client waits in total, over all its retries
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL  # keyed only
    window_us: int = (
        0  # keyed only: how long repeats are dropped, counted from the first send that may have run
    )
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that a response after the aim earns
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's work

    def __post_init__(self) -> None:
        _require(self.aim_us > 0, "aim_us", "must be above 0")
        _require(self.deadline_us > 0, "deadline_us", "must be above 0")
        _require(self.window_us >= 0, "window_us", "must not be negative")
        _require(isfinite(self.worth) and self.worth >= 0, "worth", "must be finite and not negative")
        _require(0 <= self.late_worth <= 1, "late_worth", "must lie in 0..1")
        _require(
            isfinite(self.aim_stretch) and self.aim_stretch >= 0,
            "aim_stretch",
            "must be finite and not negative",
        )


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its share of the capacity. Raises ValueError if out of range."""

    name: str
    quota_per_s: float = 0.0  # requests per second within its share, over all balancers; 0: no quota
    share: float = 0.0

    def __post_init__(self) -> None:
        _require(
            isfinite(self.quota_per_s) and self.quota_per_s >= 0,
            "quota_per_s",
            "must be finite and not negative",
        )


@dataclass(slots=True, frozen=True)
class Prices:
    """Costs deducted from the goal, in its unit. Raises ValueError if out of range."""

    cross_zone: float = 0.0  # per attempt that crosses zones, relative to the number of first tries
    waste: float = 0.0  # backend work that served no response, as a share of the work offered
    late_fail: float = 0.0  # worth of requests that ended unserved after their aim
    probe: float = 0.0  # per probe, relative to the number of first tries
    peer: float = 0.0  # per 256 bytes delivered to another balancer, relative to the number of first tries

    def __post_init__(self) -> None:
        for name in ("cross_zone", "waste", "late_fail", "probe", "peer"):
            price = getattr(self, name)
            _require(isfinite(price) and price >= 0, name, "must be finite and not negative")


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of a balancer, fixed for its lifetime. Raises ValueError if out of range."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0  # the zone this balancer runs in
    siblings: int = 1  # number of balancers, this one included
    me: int = 0  # index of this balancer among them, from 0
    report_fields: tuple[str, ...] = ()  # names of the numbers in a load report; () if there are no reports
    discovery: Discovery = Discovery.PUSH
    ask_within_us: int = 10_000_000  # ASK: a balancer that has not asked for this long counts as informed
    can_cancel: bool = True
    can_probe: bool = False
    can_tell: bool = False  # balancers may send each other short messages, without guaranteed delivery
    second_copies: bool = True  # two attempts of one request may be in flight at once
    max_attempts: int = 6
    retry_after: bool = False  # Refuse may carry a retry delay
    max_retry_after_us: int = 1_000_000
    tick_us: int = 1_000  # minimum time between rounds of events
    answer_slack_us: int = 0  # a final answer this long after the client's deadline still counts
    over_share_worth: float = 1.0  # share of its worth that a request beyond its tenant's share keeps
    capacity_hints: bool = False  # whether Backend.capacity_hint is meaningful
    start_fraction: float = 1.0  # a started backend has at least this share of its capacity
    warm_up_us: int = 0  # time after its start by which a backend has its full capacity
    fall_multiple: float = 3.0  # a cold backend that gets more than this multiple of its capacity
    fall_window_us: int = 1_000_000  # within any window of this length fails
    prices: Prices = field(default_factory=Prices)

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one is needed")
        _require(self.siblings >= 1, "siblings", "must be 1 or more")
        _require(0 <= self.me < self.siblings, "me", "must lie in 0..siblings - 1")
        _require(self.max_attempts >= 1, "max_attempts", "must be 1 or more")
        _require(self.tick_us >= 0, "tick_us", "must not be negative")
        _require(self.answer_slack_us >= 0, "answer_slack_us", "must not be negative")
        _require(self.ask_within_us > 0, "ask_within_us", "must be above 0")
        _require(self.max_retry_after_us >= 0, "max_retry_after_us", "must not be negative")
        _require(0 <= self.over_share_worth <= 1, "over_share_worth", "must lie in 0..1")
        _require(0 < self.start_fraction <= 1, "start_fraction", "must lie above 0 and at most at 1")
        _require(self.warm_up_us >= 0, "warm_up_us", "must not be negative")
        _require(
            isfinite(self.fall_multiple) and self.fall_multiple > 0,
            "fall_multiple",
            "must be finite and above 0",
        )
        _require(self.fall_window_us > 0, "fall_window_us", "must be above 0")

    def check(self, event: RequestArrived, pending: bool) -> None:
        """Raise ValueError if the event is invalid. `pending`: its request number is already in use."""
        _require(
            0 <= event.request_class < len(self.classes), "request_class", f"no class {event.request_class}"
        )
        _require(0 <= event.tenant < max(1, len(self.tenants)), "tenant", f"no tenant {event.tenant}")
        _require(not pending, "request", f"{event.request} is already pending")


@dataclass(slots=True)
class Backend:
    """One entry of the backend list."""

    id: BackendId
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    capacity_hint: float = 1.0
    started_at: int = 0  # time of its latest start on the caller's clock; 0: long ago


# Events: the caller passes them to Balancer.handle in the order in which they occurred.


@dataclass(slots=True)
class BackendsChanged:
    """The backend list, or changes to it. A balancer's first event has kind CACHED, even if empty."""

    kind: ListKind
    backends: list[Backend]


@dataclass(slots=True)
class RequestArrived:
    """A new request. The balancer must give it exactly one final answer within patience_us."""

    request: int
    request_class: int  # index into Settings.classes
    patience_us: int
    tenant: int = 0  # index into Settings.tenants
    key: int = 0  # related requests have equal keys; 0: none
    cost_us: int = 0  # estimated work, as time on a standard core; 0: unknown
    is_retry: bool = False
    streamed: bool = (
        False  # its body is forwarded while it is received; its time starts once the body is complete
    )


@dataclass(slots=True)
class StreamStarted:
    """A streamed response has begun; the attempt now belongs to the client."""

    request: int
    attempt: int
    latency_us: int  # until the response began
    report: tuple[float, ...] = ()  # as with AttemptEnded


@dataclass(slots=True)
class AttemptEnded:
    """The end of an attempt, reported once. `finished`: the client has its final answer."""

    request: int
    attempt: int  # attempts of a request are numbered 0, 1, 2 ... in the order of its Sends
    backend: BackendId
    outcome: Outcome
    latency_us: int
    finished: bool
    report: tuple[float, ...] = ()  # in the order of Settings.report_fields; () if the response had no report
    spent: bool = False  # the request's body has been forwarded and cannot be sent again


@dataclass(slots=True)
class ClientGone:
    """The client has disconnected; the request needs no answer any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer has expired."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """A probe has ended; `report` is the load report of its response, () if there is none."""

    backend: BackendId
    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """A message from another balancer; it may be late or wrong."""

    peer: int
    payload: bytes


Event = (
    BackendsChanged
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
)


# Actions: Balancer.handle returns them; the caller carries them out in order.


@dataclass(slots=True)
class Send:
    """Start an attempt; it ends with TIMEOUT after timeout_us."""

    request: int
    backend: BackendId
    timeout_us: int
    until_us: int = 0  # if it has to wait for a connection: the time until which it may be sent; 0: any time


@dataclass(slots=True)
class Refuse:
    """Final answer: rejected, safe to retry. retry_after_us is the advised delay; 0: none."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel one attempt; its AttemptEnded still follows."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Pass TimerFired(token) to the balancer after delay_us. Timers cannot be cancelled."""

    delay_us: int
    token: int


@dataclass(slots=True)
class Probe:
    """Send a health probe to a backend; ProbeEnded follows."""

    backend: BackendId


@dataclass(slots=True)
class Tell:
    """Send a message of at most 256 bytes to another balancer, without guaranteed delivery."""

    peer: int
    payload: bytes


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the backend list; exactly one BackendsChanged answers each Watch."""


@dataclass(slots=True)
class Fetch:
    """Request the full backend list once."""


@dataclass(slots=True)
class Log:
    """Write an operator log line for a rare event: server, state change, reason."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Tell | Watch | Fetch | Log
