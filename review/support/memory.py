"""The platform's limit on memory: a process over its memoryMb is killed, and is
started again after a short delay (DEPLOY.md, Memory and descriptors; Ends)."""

import threading
import time

RESTART_DELAY_S = 0.5
CHECK_S = 0.02


def resident_mb(machine):
    """Returns the resident memory of the machine's process, in MB."""
    try:
        with open(f"/proc/{machine.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class MemoryLimit:
    """Watches machines in a thread. Bytes that wait in sockets would count, too,
    but are left out."""

    def __init__(self, record, machines, limit_mb):
        self.record, self.machines, self.limit_mb = record, machines, limit_mb
        self.ends = {machine.name: 0 for machine in machines}
        self.peak = {machine.name: 0.0 for machine in machines}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self):
        while not self._stop.wait(CHECK_S):
            for machine in self.machines:
                self._check(machine)

    def _check(self, machine):
        if machine.process is None:
            return
        if not machine.running():
            ended_at = getattr(machine, "ended_at", None)
            if ended_at is None:
                machine.ended_at = time.monotonic()
                self.ends[machine.name] += 1
                self.record.write("process-ended", machine=machine.name,
                                  status=machine.process.returncode)
            elif time.monotonic() > ended_at + RESTART_DELAY_S:
                machine.ended_at = None
                machine.bootstrap = False
                machine.start()
            return
        used = resident_mb(machine)
        self.peak[machine.name] = max(self.peak[machine.name], used)
        if used > self.limit_mb:
            self.record.write("over-memory-limit", machine=machine.name,
                              resident_mb=f"{used:.0f}", limit_mb=self.limit_mb)
            machine.process.kill()
            machine.process.wait()

    def stop(self):
        self._stop.set()
        self._thread.join()
