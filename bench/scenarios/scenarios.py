"""The fault scenarios: flags of the targets and actions during the load."""

import time

from fleet import post

# Where a single worker of a service is faulty, it is the first one.


class Scenario:
    """The fault-free scenario; subclasses inject faults."""

    def flags(self, worker):
        """Returns extra flags for the target of `worker`."""
        return []

    def inject_faults(self, fleet, seconds):
        """Injects faults while the load runs; takes at most `seconds`."""


class Straggler(Scenario):
    """Service times of the first worker of each service are 4 times longer."""

    def flags(self, worker):
        return ["--straggler=4"] if worker.number == 0 else []


class Noise(Scenario):
    """Each worker is 5 times slower for 3 % of the time, in 50 ms periods."""

    def flags(self, worker):
        return ["--noise_factor=5", "--noise_share=0.03",
                "--noise_length=50ms"]


class FailFast(Scenario):
    """After a third of the run, the first worker of each service answers every
    request with an error immediately."""

    def inject_faults(self, fleet, seconds):
        time.sleep(seconds / 3)
        for worker in fleet.workers:
            if worker.number == 0:
                post(worker.target, "/control?mode=fail")


class ColdStart(Scenario):
    """After a quarter of the run, the first worker of each service is killed.
    It restarts 1 s later, 5 times slower at first, and is warm after 3 s."""

    def inject_faults(self, fleet, seconds):
        time.sleep(seconds / 4)
        first = [w for w in fleet.workers if w.number == 0]
        for worker in first:
            worker.process.kill()
            worker.process.wait()
        time.sleep(1)
        for worker in first:
            fleet.start_target(worker, ["--cold_start=3s", "--cold_factor=5"])


class HalfLost(Scenario):
    """Half of the workers of each service are killed after a third of the run
    and restarted after two thirds."""

    def inject_faults(self, fleet, seconds):
        time.sleep(seconds / 3)
        lost = [w for s in fleet.services()
                for w in fleet.of(s)[:len(fleet.of(s)) // 2]]
        for worker in lost:
            worker.process.kill()
            worker.process.wait()
        time.sleep(seconds / 3)
        for worker in lost:
            fleet.start_target(worker)


SCENARIOS = {
    "fault-free": Scenario(),
    "straggler": Straggler(),
    "noise": Noise(),
    "fail-fast": FailFast(),
    "cold-start": ColdStart(),
    "half-lost": HalfLost(),
}
