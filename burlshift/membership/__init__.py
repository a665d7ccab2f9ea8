"""Who of a fleet's agents is present: SWIM with suspicion and local health, without clock or socket."""
