"""Sockets, disks, threads and clocks; the deciders use none of these."""
