"""Runs the platform's program from the folder that the build makes."""

import sys

# asyncio does without ssl where it can't be had, and nothing here speaks TLS.
# Each start is 7 ms of processor time shorter without it.
sys.modules["ssl"] = None

from greengagemoor.platform.__main__ import main  # noqa: E402

main()
