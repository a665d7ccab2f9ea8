"""Checkers of a history: each reads one and says which of its rules broke, where and when."""
