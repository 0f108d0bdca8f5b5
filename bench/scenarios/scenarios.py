"""What goes wrong in each scenario: flags of targets, and acts during it."""

import time

from fleet import post

# Of the whole service, the first worker of each is the one at fault.


class Scenario:
    """Fault-free; the others change a part of it."""

    def flags(self, worker):
        """Returns further flags of the target of `worker`."""
        return []

    def during(self, fleet, seconds):
        """Acts while the load runs, for at most `seconds`."""


class Straggler(Scenario):
    """The first worker of each service is 4 times slower."""

    def flags(self, worker):
        return ["--straggler=4"] if worker.number == 0 else []


class Noise(Scenario):
    """Every worker is 5 times slower in 3 % of the time, 50 ms at a time."""

    def flags(self, worker):
        return ["--noise_factor=5", "--noise_share=0.03",
                "--noise_length=50ms"]


class FailFast(Scenario):
    """The first worker of each service refuses all, from the first third."""

    def during(self, fleet, seconds):
        time.sleep(seconds / 3)
        for worker in fleet.workers:
            if worker.number == 0:
                post(worker.target, "/control?mode=fail")


class ColdStart(Scenario):
    """The first worker of each service dies; it is back a second later, 5
    times slower at first and warm after 3 s."""

    def during(self, fleet, seconds):
        time.sleep(seconds / 4)
        first = [w for w in fleet.workers if w.number == 0]
        for worker in first:
            worker.process.kill()
            worker.process.wait()
        time.sleep(1)
        for worker in first:
            fleet.start_target(worker, ["--cold_start=3s", "--cold_factor=5"])


class HalfLost(Scenario):
    """Half of the workers of each service die in the first third, and are
    back in the second."""

    def during(self, fleet, seconds):
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
