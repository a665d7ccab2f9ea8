"""The list service: who serves, told to everyone who watches, on a disk that can be trusted."""
