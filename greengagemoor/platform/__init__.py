"""Adapter to the users' platform: its names, formats and calls.

It translates and decides nothing; nothing outside it knows these names.
"""
