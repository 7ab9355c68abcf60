"""Tests of greengagemoor."""
