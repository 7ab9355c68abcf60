"""Quotas of client accounts, shared by all entries."""
