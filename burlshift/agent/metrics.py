"""The agent's counters and gauges, and the text in which the admin interface returns them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

PREFIX = "agent"
REJECTED_STATUSES = frozenset({429, 503})  # the request was not processed, so a retry is safe


@dataclass(slots=True, frozen=True)
class Gauges:
    """The values that are read anew for each report."""

    pending: int  # requests received and not ended
    members: int  # backends in the list
    members_unavailable: int  # those of them that get no requests now
    list_age_ms: int  # since the latest answer of discovery; -1: none yet
    members_unlisted: int | None = None  # backends kept though a full list lacks them; None: never kept
    peers: Mapping[str, tuple[int, str]] | None = None  # by name: value, and `c` for a counter or `g`
    loop: Mapping[str, tuple[int, str]] | None = None  # likewise, of the event loop's turns
    memory: Mapping[str, tuple[int, str]] | None = None  # likewise, of what is held by kind of holder


class Metrics:
    """Counters since the start of the process; each request is counted once, when it ends."""

    def __init__(self, classes: Sequence[str]) -> None:
        self._classes = tuple(classes)
        self._outcomes = {name: [0] * len(self._classes) for name in ("completed", "rejected", "failed")}
        self._upstream_requests = 0
        self._config_reloads = 0
        self._config_reload_errors = 0

    def count_request(self, request_class: int, status: int) -> None:
        """Count a request that has ended, by its final status; REJECTED_STATUSES count as rejected."""
        outcome = "completed" if status == 200 else "rejected" if status in REJECTED_STATUSES else "failed"
        self._outcomes[outcome][request_class] += 1

    def count_attempt(self) -> None:
        """Count an attempt whose last byte has been sent to a backend."""
        self._upstream_requests += 1

    def count_reload(self, ok: bool) -> None:
        """Count a reload of the configuration."""
        self._config_reloads += ok
        self._config_reload_errors += not ok

    def text(self, levels: Gauges) -> str:
        """The report, one metric on each line: counters as ``c``, gauges as ``g``."""
        lines = [
            f"{PREFIX}.{outcome}.{name}:{counts[i]}|c"
            for outcome, counts in self._outcomes.items()
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
        further = {**(levels.peers or {}), **(levels.loop or {}), **(levels.memory or {})}
        for name, (value, kind) in further.items():
            lines.append(f"{PREFIX}.{name}:{value}|{kind}")
        return "".join(f"{line}\n" for line in lines)
