"""A fleet in virtual time, which drives the real decisions and of baselines through one interface."""
