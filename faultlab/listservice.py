"""The project's own list service in the place of discovery's stand-in, and who writes to it."""
from __future__ import annotations

import asyncio
import os
import sys
from typing import TYPE_CHECKING, Any

import msgspec

from catalog import caller
from lilacsill.discovery import PATH

from .children import HOME, Child, Failed, tethered
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

    async def start(self) -> None:
        """Returns once it answers."""
        rig, life, began = self._rig, self._rig.life("d0"), now_us()
        command = [sys.executable, "-m", "catalog", "serve", "--listen", self._at,
                   "--data", str(rig.folder / "list")]
        child = await rig.starter.start("d0", life, tethered(command), rig.folder / "logs" / "d0.log",
                                        os.environ, HOME)
        rig.children.append(child)
        rig.write(Begun(t=began, who="d0", life=life, pid=child.pid))
        rig.watch(child)
        self.child = child
        await self._until_yes("GET", "/_health", None, "")
        rig.write(Ready(t=now_us(), who="d0", life=life, took_us=now_us() - began))

    async def put_all(self) -> None:
        """What serves at the start, in one batch."""
        writes = [{"do": "put", "member": self._member(j), "ttl_ms": TTL_MS}
                  for j in sorted(self._rig.entries)]
        answer = await self._until_yes("POST", "/catalog/batch", {"writes": writes}, self._key())
        self._listed(answer, sorted(self._rig.entries))

    async def set(self, j: int, phase: str) -> None:
        """A server comes, drains or goes."""
        path = caller.member_path(f"s{j}")
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
            await self._call("POST", f"{caller.member_path(f's{j}')}/renew", {}, "")

    async def note_what_is_kept(self) -> None:
        """The list at the end, as the service gives it."""
        doc = await self._until_yes("GET", PATH, None, "")
        self._rig.write(Kept(t=now_us(), who="d0", revision=doc["revision"],
                             members=[(m["id"], m["phase"]) for m in doc["members"]]))

    def _member(self, j: int) -> dict[str, Any]:
        entry = self._rig.entries[j]
        return {"id": entry.id, "host_port": self._rig.block.server(j), "locality": entry.locality,
                "flavor": entry.flavor, "cell": entry.cell, "up_since_ms": entry.up_since_ms}

    def _listed(self, answer: dict[str, Any], numbers: list[int]) -> None:
        entries = [self._rig.entries[j] for j in numbers]
        self._rig.write(Listed(t=now_us(), who="d0", revision=answer["revision"],
                               members=[(e.id, e.phase, e.up_since_ms) for e in entries]))

    def _key(self) -> str:
        self._writes += 1
        return f"write-{self._writes}"

    async def _until_yes(self, method: str, path: str, doc: object, key: str) -> dict[str, Any]:
        """The same write until it is answered: its key makes that one write."""
        until = now_us() + int(WRITE_S * 1e6)
        while now_us() < until:
            answer = await self._call(method, path, doc, key)
            if answer is not None:
                return answer
            await asyncio.sleep(AGAIN_S)
        raise Failed(f"d0: {method} {path} found no answer for {WRITE_S:g} s; see logs/d0.log")

    async def _call(self, method: str, path: str, doc: object, key: str) -> dict[str, Any] | None:
        """None where there is no yes."""
        headers = {"Idempotency-Key": key} if key else {}
        try:
            body = await asyncio.to_thread(caller.call, self._at, method, path, doc, CALL_S, headers)
        except caller.CallError:
            return None
        return msgspec.json.decode(body, type=dict[str, Any])
