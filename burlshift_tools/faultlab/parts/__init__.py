"""The processes of a rig. Each gets its plan on the first line of standard input, then orders."""
