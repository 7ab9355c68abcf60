"""Tests of ``greengagemoor.aio``."""
