"""Scale tests: what each role costs by the size of the fleet, measured, fitted and compared with the plan."""
