"""Reads the log lines of several processes as one story."""
