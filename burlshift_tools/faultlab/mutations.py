"""Faults planted in a copy of the agent, to see that the rig finds them: each with the scenario that does."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from . import play
from .scenario import load

SEEDS = 5  # within so many each is to be found
AGAIN = 2  # a run in which the rig was late is played so often again
LEFT_OUT = ("journal", "logs", "found", ".*", "__pycache__")


class PlantError(Exception):
    """A plant does not fit the tree; the text is one line."""


@dataclass(frozen=True, slots=True)
class Plant:
    """In one file, `old` becomes `new`; `rule` is the one that breaks in `scenario`."""

    name: str
    about: str
    file: str
    old: str
    new: str
    scenario: str
    rule: str


@dataclass(frozen=True, slots=True)
class Found:
    """How a plant was met: the seed that showed it, or none, and the first breach."""

    plant: Plant
    seed: int | None
    said: str


ANSWER = (
    "    def answer(self, call: DownstreamRequest, status: int, headers: Headers, body: bytes) -> None:\n"
)
PLANTS = (
    Plant(
        "repeat",
        "an attempt repeated that may not be",
        "burlshift/balancing/logic.py",
        "        if request.cls.effect is Effect.UNSAFE or self.now >=",
        "        if self.now >=",
        "resets",
        "effect",
    ),
    Plant(
        "drain",
        "a drain ignored",
        "burlshift/agent/listing.py",
        '"DRAINING": State.DRAINING',
        '"DRAINING": State.READY',
        "pause-one",
        "drain",
    ),
    Plant(
        "cut-answer",
        "an answer cut off and passed on as whole",
        "burlshift/agent/exchange.py",
        'before the response was complete."""\n        self._end(self._outcome_of_break())',
        'before the response was complete."""\n'
        "        self._end(Outcome.OK if self._status == 200 else self._outcome_of_break())",
        "spoilt",
        "integrity",
    ),
    Plant(
        "wake-up",
        "a wake-up lost: a watch that broke is not begun again",
        "burlshift/agent/list_keeper.py",
        "            self._loop.call_later(wait_s, self.discovery.watch, self.on_listing)\n",
        "",
        "discovery-wrong",
        "stale",
    ),
    Plant(
        "descriptor",
        "a descriptor leaked with each connection that is given up",
        "burlshift/agent/connection_pool.py",
        "        self._open.discard(connection)\n        connection.drop()",
        "        self._open.discard(connection)\n        if connection.transport is not None:\n"
        '            connection.transport.get_extra_info("socket").dup().detach()\n'
        "        connection.drop()",
        "steady",
        "descriptors",
    ),
    Plant(
        "stale-list",
        "a stale list kept: a whole list takes nothing out",
        "burlshift/agent/backend_list.py",
        "        if listing.complete:\n            self._members.clear()\n",
        "",
        "discovery-disagrees",
        "stale",
    ),
    Plant(
        "wrong-answer",
        "an answer given to another request",
        "burlshift/agent/agent.py",
        "            self._answer(number, 200, _content_type_headers(result.content_type), result.body)",
        "            self._before, body = result.body, getattr(self, '_before', result.body)\n"
        "            self._answer(number, 200, _content_type_headers(result.content_type), body)",
        "steady",
        "integrity",
    ),
    Plant(
        "no-answer",
        "a failed request gets no answer",
        "burlshift/agent/downstream_response.py",
        ANSWER,
        ANSWER
        + "        if status == 502:\n            self._downstream_request = None\n            return\n",
        "short-time",
        "answered",
    ),
    Plant(
        "half-answer",
        "one answer in some breaks off",
        "burlshift/agent/downstream_response.py",
        ANSWER,
        ANSWER + "        waits = self._downstream_request is call and self.transport is not None\n"
        "        if len(body) % 16 == 0 and waits:\n"
        "            self._downstream_request = None\n"
        "            self.transport.write(b'HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\nhalf')\n"
        "            return self.transport.close()\n",
        "steady",
        "answered",
    ),
    Plant(
        "two-answers",
        "a second answer behind the first",
        "burlshift/agent/downstream_response.py",
        ANSWER,
        ANSWER + "        if self._downstream_request is call and self.transport is not None:\n"
        "            more = b'HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n'\n"
        "            self._loop.call_soon(self.transport.write, more)\n",
        "steady",
        "answered",
    ),
    Plant(
        "departed",
        "a client that has left is not missed",
        "burlshift/agent/downstream_connection.py",
        "        call, self._downstream_request = self._downstream_request, None\n        self._upload = "
        "self._source = None\n",
        "        return False\n        call, self._downstream_request = self._downstream_request, None\n"
        "        self._upload = self._source = None\n",
        "restless",
        "ended",
    ),
    Plant(
        "after-answer",
        "an attempt goes out after the final answer",
        "burlshift/agent/agent.py",
        "                self._use_result(pending, exchange, result)\n",
        "                self._use_result(pending, exchange, result)\n"
        "                call = pending.call\n"
        "                ask = UpstreamRequest(call.method, call.target, call.headers, call.body,\n"
        "                                      left_us=call.left_us)\n"
        "                self._loop.call_later(0.2, self._connection_pool.exchange, attempt.backend, ask,\n"
        "                                      1_000_000, lambda result: None)\n",
        "steady",
        "ended",
    ),
    Plant(
        "told",
        "servers are told of time that is not there",
        "burlshift/agent/exchange.py",
        'headers.append((b"Request-Timeout-Ms", b"%d" % ',
        'headers.append((b"Request-Timeout-Ms", b"1%d" % ',
        "steady",
        "told",
    ),
    Plant(
        "ban",
        "a ban dropped over an upgrade",
        "burlshift/agent/backend_list.py",
        '"banned": sorted(self._detached)',
        '"banned": []',
        "upgrade",
        "drain",
    ),
    Plant(
        "copy",
        "a second copy sent where none may be",
        "burlshift/balancing/logic.py",
        "            and self.table.typical_latency\n            and self.settings.second_copies\n",
        "            and self.table.typical_latency\n",
        "one-copy",
        "copies",
    ),
)


def named(names: list[str]) -> list[Plant]:
    """Raises PlantError."""
    known = {plant.name: plant for plant in PLANTS}
    for name in names:
        if name not in known:
            raise PlantError(f"{name}: no such plant; one of {', '.join(known)}")
    return [known[name] for name in names] or list(PLANTS)


def plant_in(tree: Path, plant: Plant, to: Path) -> None:
    """A copy of the tree with the fault in it. Raises PlantError if its place is not there just once."""
    shutil.copytree(tree, to, ignore=shutil.ignore_patterns(*LEFT_OUT))
    (to / ".venv").symlink_to((tree / ".venv").absolute())
    path = to / plant.file
    text = path.read_text(encoding="utf-8")
    if text.count(plant.old) != 1:
        raise PlantError(
            f"{plant.file}: the place of plant {plant.name} is there {text.count(plant.old)} "
            "times; mend it in burlshift_tools/faultlab/mutations.py"
        )
    path.write_text(text.replace(plant.old, plant.new), encoding="utf-8")


def search(plants: list[Plant], tree: Path) -> Iterator[Found]:
    """Each plant's scenario with seeds from 1 on, until its rule breaks."""
    for plant in plants:
        folder = Path(tempfile.mkdtemp(prefix="faultlab-plant-"))
        try:
            plant_in(tree, plant, folder / "tree")
            yield _search_one(plant, folder)
        finally:
            shutil.rmtree(folder, ignore_errors=True)


def _search_one(plant: Plant, folder: Path) -> Found:
    for seed in range(1, SEEDS + 1):
        for _ in range(1 + AGAIN):
            shutil.rmtree(folder / "run", ignore_errors=True)
            played = play.play(plant.scenario, load(plant.scenario), seed, folder / "run", folder / "tree")
            if played.verdict.counts:
                break
        first = next((b for b in played.verdict.breaches if b.rule == plant.rule), None)
        if played.verdict.counts and first is not None:
            return Found(plant, seed, f"{first.who}: {first.what}")
    return Found(plant, None, "not found")
