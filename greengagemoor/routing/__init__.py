"""Routing of requests to services."""
