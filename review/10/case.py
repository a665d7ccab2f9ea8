"""New configurations in quick succession while agents are restarted: SIGHUP kills agents that start."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_2 import (
    READY_S,
    TROUBLE,
    Agent,
    CouldNotRunError,
    Discovery,
    MeterServer,
    Stage,
    agent_config,
    play,
    settings,
)

AGENTS, SERVERS = 4, 9
CONFIGURATION_S = 0.2  # between two new configurations
END_S = 6.0 + 0.7  # SIGKILL follows SIGTERM no sooner than this, whatever the longest deadline is


async def restart(stage: Stage, agent: Agent) -> str:
    """Restart an agent in order; returns how the new process ended, if it did so before it was ready."""
    agent.signal(signal.SIGTERM)
    deadline = time.monotonic() + END_S
    while agent.exit_status() is None and time.monotonic() < deadline:
        await asyncio.sleep(0.02)
    stage.record.note(f"platform: {agent.name} has ended, status {agent.exit_status()}")
    agent.end()
    agent.start()
    started_at = time.monotonic()
    try:
        await agent.ready()
    except CouldNotRunError:
        status = agent.exit_status()
        if status is None:
            return f"{agent.name} is not ready {READY_S:.0f} s after its start"
        end = signal.Signals(-status).name if status < 0 else f"status {status}"
        return f"{agent.name} ended by {end}, {time.monotonic() - started_at:.3f} s after its start"
    return ""


async def case(stage: Stage) -> list[str]:
    servers = [MeterServer(f"s{n}", stage.record) for n in range(SERVERS)]
    discoveries = [Discovery(stage.record, servers) for _ in range(2)]
    await stage.open(*servers, *discoveries)
    for number in range(AGENTS):
        config = agent_config(discoveries[0].address, discoveries[0].document(None))
        config["settings"] = {**settings(AGENTS), "me": number}
        await stage.start_agent(config, f"n{number + 1}")
    restarting = True

    async def configure() -> None:
        """Move discovery to and fro: write each agent's file, and send SIGHUP to each agent that runs."""
        moves = 0
        while restarting:
            await asyncio.sleep(CONFIGURATION_S)
            moves += 1
            for agent in stage.agents:
                agent.config["discovery"] = discoveries[moves % 2].address
                agent.write_config()
                if agent.exit_status() is None:
                    agent.signal(signal.SIGHUP)

    configuring = asyncio.create_task(configure()) if TROUBLE else None
    broken = []
    for agent in list(stage.agents):
        if end := await restart(stage, agent):
            broken.append(end)
    restarting = False
    if configuring is not None:
        await configuring
    for agent in stage.agents:
        status = agent.exit_status()
        stage.record.note(
            f"{agent.name} {'serves' if status is None else f'has ended, status {status}'} at the end"
        )
        if status is not None and not any(line.startswith(agent.name) for line in broken):
            broken.append(f"{agent.name} ended, status {status}")
    stage.record.note(f"{len(stage.agents)} agents restarted, {len(broken)} of them crashed")
    return broken


if __name__ == "__main__":
    play(__file__, case)
