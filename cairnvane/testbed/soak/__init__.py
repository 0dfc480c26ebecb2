"""The soak test: random scenarios with overlapping faults, each checked against all rules."""
