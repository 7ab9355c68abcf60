"""Tests of ``greengagemoor.util``."""
