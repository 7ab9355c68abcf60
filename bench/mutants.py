"""Mutation tests: each mutant removes one protection (``make mutants``).

Applies each change to a copy of the tree, runs the named tests there and
expects a failure. If a mutant survives, its tests do not check the protection.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from bench import (
    mutant_list,
    mutants_of_announcements,
    mutants_of_connections,
    mutants_of_places,
    mutants_of_recovery,
)
from bench.mutant import Mutant

MUTANTS = (
    *mutant_list.MUTANTS,
    *mutants_of_places.MUTANTS,
    *mutants_of_connections.MUTANTS,
    *mutants_of_recovery.MUTANTS,
    *mutants_of_announcements.MUTANTS,
)
ROOT = Path(__file__).parent.parent
WORKERS = 3
TIMEOUT_S = 300
IGNORED = shutil.ignore_patterns(
    ".git", ".venv", "__pycache__", ".hypothesis", "*.egg-info", ".ruff_cache"
)


def try_mutant(mutant: Mutant) -> str:
    """Returns the result: "killed ...", "SURVIVED" or "NOT APPLIED ..."."""
    with tempfile.TemporaryDirectory() as name:
        copy = Path(name) / "tree"
        shutil.copytree(ROOT, copy, ignore=IGNORED)
        file = copy / "greengagemoor" / mutant.file
        text = file.read_text()
        if text.count(mutant.old) != 1:
            return f"NOT APPLIED ({text.count(mutant.old)} places)"
        file.write_text(text.replace(mutant.old, mutant.new))
        try:
            done = subprocess.run(
                [sys.executable, "-m", "pytest", "-x", "-q", *mutant.tests],
                cwd=copy,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
                env={"PYTHONPATH": str(copy), "PYTHONDONTWRITEBYTECODE": "1"},
            )
        except subprocess.TimeoutExpired:
            return "killed (a test did not end)"
    if done.returncode == 0:
        return "SURVIVED"
    failed = [ln for ln in done.stdout.splitlines() if ln.startswith("FAILED")]
    first = failed[0].split(" - ")[0].removeprefix("FAILED ") if failed else "?"
    return f"killed by {first}"


def main() -> int:
    """Tries all mutants, or those whose promise contains the argument."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [m for m in MUTANTS if wanted in m.promise]
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(try_mutant, chosen))
    for mutant, result in zip(chosen, results, strict=True):
        print(f"{mutant.promise:50} {mutant.file:28} {result}")
    survivors = sum(not result.startswith("killed") for result in results)
    print(f"{len(results) - survivors} killed, {survivors} not killed")
    return min(survivors, 1)


if __name__ == "__main__":
    sys.exit(main())
