"""Faults of entries and control instances."""

from __future__ import annotations

from greengagemoor.feed import messages as feed


class FaultInjection:
    """Mixin of ``Fleet`` that injects faults."""

    def kill(self, process, wipe=False):
        """Kills a process, which restarts at once.

        Args:
            process: an entry or a control instance.
            wipe: whether a control instance also loses its disk.
        """
        others = self.entries if process in self.controls else self.controls
        if process in self.controls:
            if wipe:
                process.disk = {}
            for other in self.controls:
                if other is not process:
                    other.put(feed.LinkDown(process.name))
        for other in others:
            other.put(feed.LinkDown(process.name))
        for searcher in self.searchers.values():
            for key in [key for key in searcher.running if key[0] is process]:
                del searcher.running[key]
        process.start()
        if process in self.controls:
            self.connect_control(process)
            for entry in self.entries:
                self.connect(entry, process)

    def kill_all(self):
        """Kills all processes at the same moment."""
        for control in self.controls:
            self.kill(control)
        for entry in self.entries:
            self.kill(entry)

    def cut_off(self, entry, controls):
        """Cuts the links of an entry to some control instances."""
        entry.last_fault_at = float("inf")
        for control in controls:
            self.cut_links.add(frozenset((entry.name, control.name)))
            self.disconnect(entry, control)

    def join_again(self, entry, controls):
        """Restores the links that ``cut_off`` cut."""
        entry.last_fault_at = self.now
        for control in controls:
            self.cut_links.discard(frozenset((entry.name, control.name)))
            self.connect(entry, control)

    def freeze(self, process):
        """Suspends a process; its messages are queued."""
        process.frozen = True
        process.last_fault_at = float("inf")

    def thaw(self, process):
        """Resumes a suspended process."""
        process.frozen = False
        process.last_fault_at = self.now
        process.step_decider()
