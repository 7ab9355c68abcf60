"""The program of the platform's deploy file: ``entry`` or ``control``."""

from __future__ import annotations

import sys

from greengagemoor.aio import sockets
from greengagemoor.platform.boot import boot_path, read_boot


def main() -> None:
    """Runs the role that the first argument names."""
    cfg = read_boot(boot_path())
    address = cfg.caller_address
    listener = sockets.listen(address) if address else None
    # Most of a start goes into this import. Callers that come meanwhile wait
    # in the queue of the socket, where each would be refused twice and fail.
    from greengagemoor.platform.program import run

    run(sys.argv[1], cfg, listener)


if __name__ == "__main__":
    main()
