"""The project's own list service in the place of discovery's stand-in, and who writes to it."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import TYPE_CHECKING, Any

import msgspec

from burlshift.agent.discovery_call import PATH
from burlshift.catalog import client

from .child_processes import HOME, Child, Failed, tethered
from .history import Begun, Kept, Listed, Ready, now_us

if TYPE_CHECKING:
    from .rig import Rig

TTL_MS = 3000
RENEW_S = 0.5
AGAIN_S = 0.1
WRITE_S = 10.0  # a write has found the service by then
CALL_S = 2.0


class ListService:
    """One process of `catalog`, started again over the same data; its writers do not give up."""

    def __init__(self, rig: Rig) -> None:
        self._rig, self._at = rig, rig.block.discovery(0)
        self._writes = 0
        self.child: Child | None = None
        self.followers: dict[int, Child] = {}

    async def start(self) -> None:
        """Returns once it answers."""
        self.child = await self._start(0, ["serve", "--data", str(self._rig.folder / "list")])

    async def start_follower(self, k: int) -> None:
        """It has two sources, the leader and the other follower. Returns once it has a list."""
        block = self._rig.block
        sources = [block.leader(k)]
        sources += [block.discovery(1 + other) for other in range(self._rig.s.followers) if other != k]
        named = [word for source in sources for word in ("--source", source)]
        self.followers[k] = await self._start(1 + k, ["follow", *named])

    async def _start(self, k: int, command: list[str]) -> Child:
        rig, name, began = self._rig, f"d{k}", now_us()
        life, at = rig.life(name), rig.block.discovery(k)
        whole = tethered([sys.executable, "-m", "burlshift.catalog", *command, "--listen", at])
        words = rig.folder / "logs" / f"{name}.log"
        child = await rig.starter.start(name, life, whole, words, os.environ, HOME)
        rig.children.append(child)
        rig.write(Begun(t=began, who=name, life=life, pid=child.pid))
        rig.watch(child)
        await self._until_yes("GET", "/_health", None, "", at)
        rig.write(Ready(t=now_us(), who=name, life=life, took_us=now_us() - began))
        return child

    async def put_all(self) -> None:
        """What serves at the start, in one batch."""
        writes = [
            {"do": "put", "member": self._member(j), "ttl_ms": TTL_MS} for j in sorted(self._rig.entries)
        ]
        answer = await self._until_yes("POST", "/catalog/batch", {"writes": writes}, self._key())
        self._listed(answer, sorted(self._rig.entries))

    async def set(self, j: int, phase: str) -> None:
        """A server comes, drains or goes."""
        path = client.member_path(f"s{j}")
        if phase == "DELETED":
            answer = await self._until_yes("DELETE", path, None, self._key())
        elif phase == "DRAINING":
            answer = await self._until_yes("PUT", f"{path}/phase", {"phase": phase}, self._key())
        else:
            doc = {**self._member(j), "ttl_ms": TTL_MS}
            answer = await self._until_yes("PUT", path, doc, self._key())
        self._listed(answer, [j])

    async def renew_all(self) -> None:
        """Each server that is up renews its lease; while the service is away nothing is lost by it."""
        while True:
            await asyncio.gather(*(self._renew(j) for j in list(self._rig.servers)))
            await asyncio.sleep(RENEW_S)

    async def _renew(self, j: int) -> None:
        part = self._rig.servers.get(j)
        if part is not None and part.child.alive and not part.child.paused:
            await self._call("POST", f"{client.member_path(f's{j}')}/renew", {}, "")

    async def note_what_is_kept(self) -> None:
        """The list at the end, as the service and its followers give it."""
        revision = 0
        for k in range(1 + self._rig.s.followers):
            doc = await self._until_yes("GET", PATH, None, "", self._rig.block.discovery(k), revision)
            revision = doc["revision"]
            self._rig.write(
                Kept(
                    t=now_us(),
                    who=f"d{k}",
                    revision=revision,
                    members=[(m["id"], m["phase"]) for m in doc["members"]],
                )
            )

    def _member(self, j: int) -> dict[str, Any]:
        entry = self._rig.entries[j]
        return {
            "id": entry.id,
            "host_port": self._rig.block.server(j),
            "locality": entry.locality,
            "flavor": entry.flavor,
            "cell": entry.cell,
            "up_since_ms": entry.up_since_ms,
        }

    def _listed(self, answer: dict[str, Any], numbers: list[int]) -> None:
        entries = [self._rig.entries[j] for j in numbers]
        self._rig.write(
            Listed(
                t=now_us(),
                who="d0",
                revision=answer["revision"],
                members=[(e.id, e.phase, e.up_since_ms) for e in entries],
            )
        )

    def _key(self) -> str:
        self._writes += 1
        return f"write-{self._writes}"

    async def _until_yes(
        self, method: str, path: str, doc: object, key: str, at: str = "", least: int = 0
    ) -> dict[str, Any]:
        """The same call until it is answered, from that revision on; its key makes that one write."""
        until = now_us() + int(WRITE_S * 1e6)
        while now_us() < until:
            answer = await self._call(method, path, doc, key, at)
            if answer is not None and answer.get("revision", 0) >= least:
                return answer
            await asyncio.sleep(AGAIN_S)
        raise Failed(f"{at or self._at}: {method} {path} found no answer for {WRITE_S:g} s; see logs/d0.log")

    async def _call(
        self, method: str, path: str, doc: object, key: str, at: str = ""
    ) -> dict[str, Any] | None:
        """None where there is no yes."""
        headers = {"Idempotency-Key": key} if key else {}
        try:
            body = await asyncio.to_thread(client.call, at or self._at, method, path, doc, CALL_S, headers)
        except client.CallError:
            return None
        return msgspec.json.decode(body, type=dict[str, Any])
