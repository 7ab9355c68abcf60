"""Tests of ``greengagemoor.storage``."""
