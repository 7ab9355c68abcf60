"""Fixtures: a complete control group and an operator."""

from __future__ import annotations

import pytest

from tests.test_control.helpers import Operator, start_group


@pytest.fixture
def fleet():
    return start_group()


@pytest.fixture
def operator(fleet):
    return Operator(fleet)
