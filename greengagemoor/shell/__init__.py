"""Sockets, disks, threads and clocks around the pure deciders."""
