"""A client-side load balancing agent on real sockets, around the decisions of `burlshift.balancing`."""
