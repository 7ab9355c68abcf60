"""Processes of a soak run: their logs and the limit of their writes."""

from __future__ import annotations

import resource
import shutil
import subprocess
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def start(
    command: list[str],
    env: dict[str, str],
    folder: Path | None,
    log_path: Path,
    *,
    is_piped: bool = True,
) -> subprocess.Popen:
    """Starts a process and appends its output to a file.

    Args:
        command: program and arguments.
        env: environment.
        folder: working directory; the current one if None.
        log_path: file that receives standard output and standard error.
        is_piped: whether the output passes through a pipe, so that a limit of
            the writes of the process does not apply to its log.

    Raises:
        OSError: the program cannot be started or the file not be opened.
    """
    out = log_path.open("ab", buffering=0)
    process = subprocess.Popen(
        command,
        env=env,
        cwd=folder,
        bufsize=0,
        stdout=subprocess.PIPE if is_piped else out,
        stderr=subprocess.STDOUT,
    )
    if not is_piped:
        out.close()
        return process

    def copy_output() -> None:
        with process.stdout, out:
            shutil.copyfileobj(process.stdout, out)

    threading.Thread(target=copy_output, daemon=True).start()
    return process


def limit_writes(process: subprocess.Popen, size: int | None) -> None:
    """Limits the size of the files that a child process writes.

    Writes beyond the limit fail with ``EFBIG``, as they do with ``ENOSPC`` on a
    full disk; pipes and sockets are not affected.

    Args:
        process: a process started by this one; ignored if it has ended.
        size: soft limit in bytes; None for the limit that it was started with.
    """
    if process.poll() is not None:
        return
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    new = soft if size is None else size
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (new, hard))
