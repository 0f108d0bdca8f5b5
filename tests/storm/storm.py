"""Sends keyed Bookings while random processes are killed and frozen.

Compares the runs that the targets logged with the outcomes that callers got:

    python3 tests/storm/storm.py --bin build/release/bin --bookings 20000 --seed 1

Exits with 0 if no key ran twice, no Booking whose outcomes were all "not-run"
ran, each answered Booking ran once, and each response named its own request.
Not part of ./check, because it takes minutes.
"""

import argparse
import collections
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tools"))
import demo  # noqa: E402

CALLERS = 12
MAX_SENDS = 3  # maximum per Booking, each through a random node
PAUSE_S = (0.2, 0.9)  # interval between faults
FREEZE_S = (0.1, 1.5)
DOWN_S = (0.05, 0.6)


class StormFleet(demo.Fleet):
    """A fleet whose processes can be killed, restarted and frozen."""

    def __init__(self, binaries, folder):
        super().__init__(binaries, folder)
        self.commands = {}
        self.starts = 0

    def start(self, name, *command):
        self.commands[name] = command
        super().start(name, *command)

    def process(self, name):
        return dict(self.processes)[name]

    def kill_and_restart(self, name, down_s):
        process = self.process(name)
        process.kill()
        process.wait()
        time.sleep(down_s)
        self.starts += 1
        command = [word.replace(".log", f"-{self.starts}.log")
                   if "runs-" in word else word
                   for word in self.commands[name]]
        self.processes = [one for one in self.processes if one[0] != name]
        super().start(name, *command)

    def freeze(self, name, seconds):
        process = self.process(name)
        process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.send_signal(signal.SIGCONT)


class Callers:
    """Sends each Booking until it is answered, at most MAX_SENDS times."""

    def __init__(self, fleet, count, seed):
        self.fleet = fleet
        self.count = count
        self.seed = seed
        self.next = 0
        self.lock = threading.Lock()
        self.outcomes = collections.defaultdict(list)  # by key
        self.swapped = []

    def take(self):
        with self.lock:
            if self.next >= self.count:
                return None
            self.next += 1
            return f"storm-{self.seed}-{self.next}"

    def run(self, number):
        choice = random.Random(self.seed * 1000 + number)
        while (key := self.take()) is not None:
            for _ in range(MAX_SENDS):
                outcome = self.send(choice.choice(self.fleet.nodes), key)
                self.outcomes[key].append(outcome)
                if outcome == "answered":
                    break

    def send(self, node, key):
        path = f"/bookings/{key}"
        try:
            status, outcome, body = demo.send_request(
                node, "bookdesk", "POST", path, key=key)
        except OSError:
            return "no answer"
        if outcome == "answered" and status == 200 and \
                f"POST {path}" not in body:
            self.swapped.append((key, body))
        return outcome or "no outcome"


def make_faults(fleet, seed, stop, counts):
    choice = random.Random(seed)
    names = [name for name, _ in fleet.processes
             if "bookdesk" in name or "keeper" in name or "ledger" in name]
    while not stop.is_set():
        time.sleep(choice.uniform(*PAUSE_S))
        name = choice.choice(names)
        if choice.random() < 0.5:
            counts["kill"] += 1
            fleet.kill_and_restart(name, choice.uniform(*DOWN_S))
        else:
            counts["freeze"] += 1
            fleet.freeze(name, choice.uniform(*FREEZE_S))


def runs_by_key(fleet):
    runs = collections.Counter()
    for log in fleet.folder.glob("runs-bookdesk-*.log"):
        for line in log.read_text().splitlines():
            words = line.split()
            if words and words[0] == "start":
                runs[words[3].removeprefix("key=")] += 1
    return runs


def find_violations(callers, runs):
    """Returns the violations of the guarantees."""
    wrong = [f"{key} ran {count} times" for key, count in runs.items()
             if count > 1]
    wrong += [f"{key} got the response of another request: {body[:80]}"
              for key, body in callers.swapped]
    for key, outcomes in callers.outcomes.items():
        if set(outcomes) == {"not-run"} and runs[key] > 0:
            wrong.append(f"{key} ran although each outcome was not-run")
        if "answered" in outcomes and runs[key] != 1:
            wrong.append(f"{key} was answered and ran {runs[key]} times")
    return wrong


def storm(arguments):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="ibisvalve-storm-"))
    fleet = StormFleet(arguments.bin, folder)
    stop = threading.Event()
    counts = collections.Counter()
    faults = threading.Thread(target=make_faults, args=(
        fleet, arguments.seed, stop, counts))
    try:
        fleet.start_keepers()
        fleet.start_nodes()
        fleet.ctl("apply", str(ROOT / "examples/tavua.yaml"))
        fleet.wait_ready()
        callers = Callers(fleet, arguments.bookings, arguments.seed)
        threads = [threading.Thread(target=callers.run, args=(i,))
                   for i in range(CALLERS)]
        faults.start()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        stop.set()
        faults.join()
        runs = runs_by_key(fleet)
        wrong = find_violations(callers, runs)
        last = collections.Counter(o[-1] for o in callers.outcomes.values())
        print(f"seed {arguments.seed}: {len(callers.outcomes)} Bookings, "
              f"{dict(counts)} faults, {sum(runs.values())} runs, "
              f"last told {dict(last)}, {len(wrong)} wrong")
        for line in wrong[:20]:
            print(f"  {line}")
        if wrong:
            print(f"logs: {folder}")
        return 1 if wrong else 0
    finally:
        stop.set()
        if faults.ident is not None:
            faults.join()
        fleet.stop()
        if not arguments.keep:
            shutil.rmtree(folder, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--bookings", type=int, default=20000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    sys.exit(storm(parser.parse_args()))


if __name__ == "__main__":
    main()
