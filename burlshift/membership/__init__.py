"""Membership of a fleet's agents: SWIM with suspicion and local health, without a clock or sockets."""
