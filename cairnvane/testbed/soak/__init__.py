"""The soak: scenarios with faults that cross each other, drawn from a seed, each checked by all rules."""
