"""Asyncio networking: HTTP server, HTTP client, links between processes."""
