"""Bad clients send a large head at once and go: the event loop is held up, and accepted requests are lost."""

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

BAD_CLIENTS, BAD_S = 60, 10.0  # once a second each; a third of the descriptors would be 341
SERVERS, PER_S, LENGTH_S = 9, 20.0, 12.0
BAD_CLIENTS_FILE = Path(__file__).resolve().parent.parent / "bad_clients.py"


async def case(stage: Stage) -> list[str]:
    servers = [MeterServer(f"s{n}", stage.record) for n in range(SERVERS)]
    discovery = Discovery(stage.record, servers)
    await stage.open(*servers, discovery)
    agent = await stage.start_agent(agent_config(discovery.address, discovery.document(None)))
    client = Client(agent.address, stage.record)
    await send_steadily(PER_S, 1.0, lambda _: client.ask("reconnect-order", 0.85))
    if TROUBLE:
        stage.record.note(f"{BAD_CLIENTS} bad clients send a head and go, once a second each, {BAD_S:.0f} s")
        stage.start_process(str(BAD_CLIENTS_FILE), agent.address, "go", str(BAD_CLIENTS), str(BAD_S))
    asked = await send_steadily(PER_S, LENGTH_S, lambda _: client.ask("reconnect-order", 0.85))
    lost = lost_requests(asked)
    stage.record.note(
        f"{len(asked)} requests, {sum(a.status == 200 for a in asked)} served, {len(lost)} lost, of these "
        f"{sum(not a.status for a in lost)} never answered; the latest answer came "
        f"{max((a.late_s() for a in asked if a.status), default=0.0):.3f} s after its time; "
        f"{sum(not a.sent_at for a in asked)} not accepted"
    )
    for line in agent.log_path.read_text().splitlines():
        if "turn of the event loop" in line:
            stage.record.note(f"log of the agent: {line.partition(': ')[2] or line}")
    broken = [f"{a.request_id}: {a.status or a.end}, {a.late_s():.3f} s after its time" for a in lost]
    if agent.exit_status() is not None:
        broken.append(f"the agent ended, status {agent.exit_status()}")
    return broken


if __name__ == "__main__":
    play(__file__, case)
