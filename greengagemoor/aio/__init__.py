"""Sockets of the event loop: HTTP both ways, links between processes."""
