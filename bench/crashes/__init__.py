"""Simulates a fleet in which certain requests crash the searchers they reach.

Entries and control instances run the real deciders. Searchers are simulated:
they crash when they start to run a harmful request and restart after some
seconds under a new id.
"""
