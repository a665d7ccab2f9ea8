"""A fleet in virtual time, which drives the decisions of brasshead and of baselines through one interface."""
