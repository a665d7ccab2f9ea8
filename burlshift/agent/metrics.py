"""What the agent counts, and the text in which operators read it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

PREFIX = "agent"
REFUSED = frozenset({429, 503})  # the statuses that tell a client that trying again is harmless


@dataclass(slots=True, frozen=True)
class Gauges:
    """What is read anew each time, where counts only grow."""

    pending: int  # requests taken and not ended
    members: int  # backends in the list
    members_unavailable: int  # those of them that get nothing now
    list_age_ms: int  # since discovery was last heard; -1: not yet
    members_unlisted: int | None = None  # backends kept though a whole list lacks them; None: none ever are
    peers: Mapping[str, tuple[int, str]] | None = None  # of the channel to other agents, each `c` or `g`


class Metrics:
    """Counts from the start of the process; each request is counted once, where it ends."""

    def __init__(self, classes: Sequence[str]) -> None:
        self._classes = tuple(classes)
        self._ends = {name: [0] * len(self._classes) for name in ("completed", "rejected", "failed")}
        self._upstream_requests = 0
        self._config_reloads = 0
        self._config_reload_errors = 0

    def count_request(self, request_class: int, status: int) -> None:
        """A request has got its final answer, or can get none any more."""
        end = "completed" if status == 200 else "rejected" if status in REFUSED else "failed"
        self._ends[end][request_class] += 1

    def count_attempt(self) -> None:
        """An attempt's last byte has gone out to a backend."""
        self._upstream_requests += 1

    def count_reload(self, ok: bool) -> None:
        """The configuration was to be read again."""
        self._config_reloads += ok
        self._config_reload_errors += not ok

    def text(self, levels: Gauges) -> str:
        """One figure a line: counts as ``c``, levels as ``g``."""
        lines = [
            f"{PREFIX}.{end}.{name}:{counts[i]}|c"
            for end, counts in self._ends.items()
            for i, name in enumerate(self._classes)
        ]
        lines += [
            f"{PREFIX}.upstream_requests:{self._upstream_requests}|c",
            f"{PREFIX}.config_reloads:{self._config_reloads}|c",
            f"{PREFIX}.config_reload_errors:{self._config_reload_errors}|c",
            f"{PREFIX}.pending:{levels.pending}|g",
            f"{PREFIX}.members:{levels.members}|g",
            f"{PREFIX}.members_unavailable:{levels.members_unavailable}|g",
            f"{PREFIX}.list_age_ms:{levels.list_age_ms}|g",
        ]
        if levels.members_unlisted is not None:
            lines.append(f"{PREFIX}.members_unlisted:{levels.members_unlisted}|g")
        for name, (value, kind) in (levels.peers or {}).items():
            lines.append(f"{PREFIX}.{name}:{value}|{kind}")
        return "".join(f"{line}\n" for line in lines)
