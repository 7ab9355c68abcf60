"""Which requests go to which services, and by which rules."""
