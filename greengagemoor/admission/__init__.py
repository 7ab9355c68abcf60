"""Admission control: decides before the first send whether a request may run.

The package is pure: it reads no clock, opens no socket, and knows neither the
forward decider nor any deployment.
"""
