"""Mutants of the recovery of a control instance's durable state."""

from __future__ import annotations

from bench.mutant import Mutant

RECOVERY = ("tests/test_serving/test_recovery.py",)
FOLDER = ("tests/test_serving/test_durable_state.py",)
STORE = ("tests/test_storage/test_store.py",)

MUTANTS = (
    Mutant(
        "recovery: a failed close does not end it",
        "storage/store.py",
        "            with contextlib.suppress(OSError):\n"
        "                self._journal.close()\n"
        "        self._folder.close()\n",
        "            self._journal.close()\n        self._folder.close()\n",
        STORE,
    ),
    Mutant(
        "recovery: any error is tried again",
        "serving/durable_state.py",
        "            except Exception as exc:\n"
        "                log.event(\n"
        '                    "disk_unusable"',
        "            except OSError as exc:\n"
        "                log.event(\n"
        '                    "disk_unusable"',
        RECOVERY,
    ),
    Mutant(
        "recovery: one at a time",
        "serving/recovery.py",
        "if not self._stopping and not self.is_running:",
        "if not self._stopping:",
        RECOVERY,
    ),
    Mutant(
        "recovery: none after a stop",
        "serving/recovery.py",
        "if not self._stopping and not self.is_running:",
        "if not self.is_running:",
        RECOVERY,
    ),
    Mutant(
        "recovery: a folder opened during a stop is closed",
        "serving/durable_state.py",
        "            await asyncio.wait([opening])\n"
        "            await self.close()\n",
        "",
        RECOVERY,
    ),
    Mutant(
        "recovery: a failed step restarts the member",
        "serving/control.py",
        '            background.log_failure("member", exc)\n'
        "            self._restart_member()\n",
        '            background.log_failure("member", exc)\n',
        RECOVERY,
    ),
    Mutant(
        "recovery: stored rows that raise do not prevent it",
        "serving/recovery.py",
        "        except Exception as exc:\n            # Searchers",
        "        except OSError as exc:\n            # Searchers",
        RECOVERY,
    ),
    Mutant(
        "recovery: the stored state comes first",
        "serving/control.py",
        "msgs.sort(key=lambda msg: not isinstance(msg, control.Recovered))",
        "pass",
        RECOVERY,
    ),
    Mutant(
        "recovery: a failed write comes before the step",
        "serving/control.py",
        "        if any("
        "isinstance(msg, control.PersistFailed) for msg in batch):\n"
        "            self._restart_member()\n"
        "        try:\n",
        "        try:\n",
        RECOVERY,
    ),
    Mutant(
        "folder: founders come before the identity",
        "storage/folder.py",
        "        for name, data in self._initial.items():\n"
        "            self.write_atomically(name, data)\n",
        "",
        FOLDER,
    ),
    Mutant(
        "folder: no founders after damage",
        "serving/durable_state.py",
        "                self._founders = None\n",
        "",
        FOLDER,
    ),
    Mutant(
        "folder: the identity goes first",
        "serving/durable_state.py",
        "        for name in (FORMAT_FILE, FOUNDERS):\n"
        "            (self._path / name).unlink(missing_ok=True)\n",
        "",
        FOLDER,
    ),
    Mutant(
        "folder: only a mark proves a sync",
        "storage/records.py",
        "if _read_at(data, position) == SYNC_MARK:",
        "if _read_at(data, position) is not None:",
        STORE,
    ),
    Mutant(
        "folder: a mark follows a sync at the start too",
        "storage/store.py",
        "        self._sync()\n"
        "        self._journal.write(records.frame(records.SYNC_MARK))\n"
        "        self._sync()\n",
        "        self._journal.write(records.frame(records.SYNC_MARK))\n"
        "        self._sync()\n",
        STORE,
    ),
    Mutant(
        "folder: any error closes the store",
        "storage/store.py",
        "        except Exception as exc:\n            # After any error",
        "        except OSError as exc:\n            # After any error",
        STORE,
    ),
    Mutant(
        "folder: rows that were not stored are stored later",
        "serving/durable_state.py",
        "            return False\n        # The folder",
        "            return True\n        # The folder",
        FOLDER,
    ),
    Mutant(
        "folder: names are synced before older files are removed",
        "storage/store.py",
        "        self._folder.sync_directory()\n        self._remove_older()\n",
        "        self._remove_older()\n",
        STORE,
    ),
    Mutant(
        "folder: the mark of a used folder is written later",
        "storage/store.py",
        "        self._remove_older()\n        self._mark_used()\n",
        "        self._remove_older()\n",
        STORE,
    ),
)
