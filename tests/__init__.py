"""Tests of the agent, the policy, the services and the tools."""
