"""Only sources are tracked: no archives, packages or compiled files."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

BINARY_SUFFIXES = {
    ".7z",
    ".a",
    ".apk",
    ".bz2",
    ".class",
    ".deb",
    ".dll",
    ".dylib",
    ".egg",
    ".exe",
    ".gz",
    ".jar",
    ".o",
    ".pyc",
    ".pyd",
    ".pyz",
    ".rpm",
    ".so",
    ".tar",
    ".tgz",
    ".whl",
    ".xz",
    ".zip",
    ".zst",
}
BINARY_HEADS = (
    b"\x7fELF",
    b"PK\x03\x04",
    b"PK\x05\x06",
    b"\x1f\x8b",
    b"BZh",
    b"\xfd7zXZ\x00",
    b"7z\xbc\xaf\x27\x1c",
    b"\x28\xb5\x2f\xfd",
    b"!<arch>\n",
    b"\xce\xfa\xed\xfe",
    b"\xcf\xfa\xed\xfe",
    b"\xca\xfe\xba\xbe",
)
"""First bytes of programs, shared objects, archives and class files."""
DOS_HEAD = b"MZ"
"""First bytes of a DOS program, and of some base64 texts; only the program has
NUL bytes after them."""
TAR_MARK = (257, b"ustar")
HEAD_BYTES = 262


def is_binary(name: str, head: bytes) -> bool:
    """Whether a file is a wheel, archive, shared object or program."""
    at, mark = TAR_MARK
    return (
        not BINARY_SUFFIXES.isdisjoint(Path(name).suffixes)
        or head.startswith(BINARY_HEADS)
        or (head.startswith(DOS_HEAD) and b"\0" in head)
        or head[at : at + len(mark)] == mark
    )


def read_head(path: Path) -> bytes:
    """Returns a file's first bytes."""
    with path.open("rb") as file:
        return file.read(HEAD_BYTES)


def tracked() -> list[str]:
    """Returns the names of all tracked files that exist."""
    listed = subprocess.run(
        ["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, check=True
    )
    names = listed.stdout.decode().split("\0")
    return [name for name in names if name and (ROOT / name).is_file()]


class TestTracked:
    """Guards against binaries that are committed by accident.

    A wheel in the working folder is easily added along with sources, such as

        py_spy-0.4.3-py2.py3-none-manylinux1_x86_64.manylinux_2_5_x86_64.whl
    """

    def test_no_binaries(self):
        names = tracked()
        assert names
        found = [n for n in names if is_binary(n, read_head(ROOT / n))]
        assert found == []

    @pytest.mark.parametrize(
        ("name", "head"),
        [
            ("tool-1.0-py3-none-any.whl", b""),
            ("libfast.so.1", b""),
            ("program", b"\x7fELF\x02\x01"),
            ("program", b"MZ\x90\x00\x03\x00\x00\x00\x04"),
            ("notes.txt", b"PK\x03\x04\x14"),
            ("notes", b"\x1f\x8b\x08"),
            ("notes.dat", b"x" * 257 + b"ustar\x00"),
        ],
    )
    def test_binary_is_found(self, name, head):
        assert is_binary(name, head)

    @pytest.mark.parametrize(
        ("name", "head"),
        [
            ("run", b"#!/usr/bin/env bash\n"),
            ("a.py", b'"""Text."""\n'),
            ("empty.txt", b""),
            ("day.token", b"MZCFcEtdsKIjoq6JXG1jrXXPr+yTdv4V"),
        ],
    )
    def test_source_is_not_binary(self, name, head):
        assert not is_binary(name, head)
