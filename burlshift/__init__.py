"""A client-side load balancing agent, its decisions as a library, and the list service."""
