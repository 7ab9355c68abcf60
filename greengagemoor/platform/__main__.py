"""Command of the platform's deploy file: runs ``entry`` or ``control``."""

from __future__ import annotations

import sys

from greengagemoor.aio import sockets
from greengagemoor.platform import boot


def main() -> None:
    """Runs the role that the first argument names."""
    path = boot.boot_path()
    address = boot.read_caller_address(path)
    listener = sockets.listen(address) if address else None
    # The imports below take most of the start. Meanwhile callers wait in the
    # queue of the socket; without it each would be refused twice and fail.
    cfg = boot.read_boot(path)
    from greengagemoor.platform.program import run

    run(sys.argv[1], cfg, listener)


if __name__ == "__main__":
    main()
