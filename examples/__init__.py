"""Example programs that use greengagemoor."""
