"""Membership: soft state that all instances share, decided without I/O."""
