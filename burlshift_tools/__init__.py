"""Tools around the agent: the emulator and the fault lab. They import it, never the reverse."""
