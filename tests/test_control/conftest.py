"""A whole control group and an operator, for the tests of this package."""

from __future__ import annotations

import pytest

from tests.test_control.helpers import Operator, start_group


@pytest.fixture
def fleet():
    return start_group()


@pytest.fixture
def operator(fleet):
    return Operator(fleet)
