"""Bad clients send one large head each and rest: what is kept of them exceeds its memory limit."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_2 import (
    TROUBLE,
    Client,
    CouldNotRunError,
    Discovery,
    Memory,
    MeterServer,
    Stage,
    agent_config,
    lost_requests,
    play,
    send_steadily,
)

MEMORY_MB, SOCKETS = 64, 256
BAD_CLIENTS, CONNECT_S = 80, 20.0
SERVERS, PER_S, LENGTH_S = 9, 20.0, 25.0
BAD_CLIENTS_FILE = Path(__file__).resolve().parent.parent / "bad_clients.py"


async def case(stage: Stage) -> list[str]:
    servers = [MeterServer(f"s{n}", stage.record) for n in range(SERVERS)]
    discovery = Discovery(stage.record, servers)
    await stage.open(*servers, discovery)
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    agent = await stage.start_agent(agent_config(discovery.address, discovery.document(None), limits=limits))
    memory = Memory()
    watching = asyncio.create_task(stage.limit_memory(agent, memory))
    if TROUBLE:
        stage.record.note(f"{BAD_CLIENTS} bad clients connect within {CONNECT_S:.0f} s, send a head and rest")
        stage.start_process(str(BAD_CLIENTS_FILE), agent.address, "stay", str(BAD_CLIENTS), str(CONNECT_S))
    client = Client(agent.address, stage.record)
    asked = await send_steadily(PER_S, LENGTH_S, lambda _: client.ask("reading-view", 1.5))
    watching.cancel()
    if not memory.peak_bytes:
        raise CouldNotRunError("the memory of the agent cannot be read")
    lost = lost_requests(asked)
    stage.record.note(
        f"peak {memory.peak_bytes / 2**20:.1f} MB of {MEMORY_MB} MB; {len(asked)} requests, "
        f"{sum(a.status == 200 for a in asked)} served, {len(lost)} lost"
    )
    broken = []
    if memory.killed:
        broken.append(f"the agent went over {MEMORY_MB} MB and was killed; requests then open: {len(lost)}")
    elif agent.exit_status() is not None:
        broken.append(f"the agent ended, status {agent.exit_status()}")
    return broken + [f"{a.request_id} got no answer in time: {a.status or a.end}" for a in lost]


if __name__ == "__main__":
    play(__file__, case)
