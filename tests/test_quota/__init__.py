"""Tests of the quotas of client accounts."""
