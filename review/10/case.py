"""Clients that stop within a request fill the agent: accepted requests wait in its queue and are lost."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_2 import (
    TROUBLE,
    Client,
    Discovery,
    MeterServer,
    Stage,
    agent_config,
    lost_requests,
    play,
    send_steadily,
)

MEMORY_MB, SOCKETS = 64, 256
BAD_CLIENTS, BAD_S = 140, 12.0
SERVERS, PER_S, LENGTH_S = 9, 10.0, 12.0
CLASS, TIMEOUT_S = "reconnect-order", 0.85
BAD_CLIENTS_FILE = Path(__file__).resolve().parent.parent / "bad_clients.py"


async def case(stage: Stage) -> list[str]:
    servers = [MeterServer(f"s{n}", stage.record) for n in range(SERVERS)]
    discovery = Discovery(stage.record, servers)
    await stage.open(*servers, discovery)
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    agent = await stage.start_agent(agent_config(discovery.address, discovery.document(None), limits=limits))
    client = Client(agent.address, stage.record)
    await send_steadily(PER_S, 1.0, lambda _: client.ask(CLASS, TIMEOUT_S))
    if TROUBLE:
        stage.record.note(f"{BAD_CLIENTS} clients stop within a request and stay, for {BAD_S:.0f} s")
        stage.start_process(str(BAD_CLIENTS_FILE), agent.address, "stop", str(BAD_CLIENTS), str(BAD_S))
    asked = await send_steadily(PER_S, LENGTH_S, lambda _: client.ask(CLASS, TIMEOUT_S))
    lost = lost_requests(asked)
    stage.record.note(
        f"{len(asked)} requests, {sum(a.status == 200 for a in asked)} served, {len(lost)} lost, "
        f"{sum(a.status == 200 for a in lost)} of these run all the same; the latest answer came "
        f"{max((a.late_s() for a in asked if a.status), default=0.0):.3f} s after its time; "
        f"{sum(not a.sent_at for a in asked)} not accepted"
    )
    broken = [f"{a.request_id}: {a.status or a.end}, {a.late_s():.3f} s after its time" for a in lost]
    if agent.exit_status() is not None:
        broken.append(f"the agent ended, status {agent.exit_status()}")
    return broken


if __name__ == "__main__":
    play(__file__, case)
