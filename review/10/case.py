"""Discovery is slow: a watch is given up while its answer is due; draining servers keep getting requests."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_2 import (
    ANSWER_SLACK_S,
    DRAIN_GRACE_S,
    TROUBLE,
    Client,
    Discovery,
    MeterServer,
    Stage,
    agent_config,
    play,
    send_steadily,
)

SLOW_S = 4.0  # each answer of discovery is written so much later than it is due
TOLD_S = 6.0  # a change counts as told so long after discovery had it, at the latest
CHANGE_AFTER_WATCH_S = 1.3
SERVERS, DRAINING, PER_S, LENGTH_S = 9, 2, 60.0, 28.0


async def next_watch(discovery: Discovery) -> None:
    """Wait until the agent calls for the next watch."""
    seen = discovery.last_watch_at
    while discovery.last_watch_at == seen:
        await asyncio.sleep(0.01)


async def case(stage: Stage) -> list[str]:
    servers = [MeterServer(f"s{n}", stage.record) for n in range(SERVERS)]
    discovery = Discovery(stage.record, servers)
    await stage.open(*servers, discovery)
    agent = await stage.start_agent(agent_config(discovery.address, discovery.document(None)))
    client = Client(agent.address, stage.record)
    asking = asyncio.create_task(
        send_steadily(PER_S, LENGTH_S, lambda _: client.ask("reading-view", 1.5)),
    )
    await asyncio.sleep(1.0)
    if TROUBLE:
        stage.record.note(f"discovery is slow: each answer {SLOW_S} s late")
        discovery.answer_delay_s = SLOW_S
    for _ in range(2):
        await next_watch(discovery)
    await asyncio.sleep(CHANGE_AFTER_WATCH_S)
    draining = servers[:DRAINING]
    changed_at = discovery.change(draining, "DRAINING")
    asked = await asking
    if time.monotonic() < changed_at + TOLD_S + DRAIN_GRACE_S + 3.0:
        raise RuntimeError("too little was played behind the change")
    bound_s = TOLD_S + DRAIN_GRACE_S + ANSWER_SLACK_S
    runs = [(run.server, run.request_id, run.at - changed_at) for s in draining for run in s.runs]
    late = [run for run in runs if run[2] > bound_s]
    stage.record.note(
        f"{len(asked)} requests; the last one at a draining server {max(r[2] for r in runs):.3f} s after the "
        f"change, {len(late)} after {bound_s:.2f} s"
    )
    return [f"{server} got {name} {after_s:.3f} s after the change" for server, name, after_s in late]


if __name__ == "__main__":
    play(__file__, case)
