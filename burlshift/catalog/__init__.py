"""The service catalog: a durable list of servers with watches (long polling), leases and read replicas."""
