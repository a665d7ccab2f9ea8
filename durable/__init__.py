"""State that outlasts the process: a snapshot and a journal after it, checked, with two generations kept."""
