"""A rig, a tool: copies of the agent as processes, faults between them, checkers of what happened."""
