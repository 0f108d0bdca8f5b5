"""Starts the benchmark fleets as real processes."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

START_LIMIT_S = 40

# Per fleet: the region, the slots of each worker, and for each service the
# zones of its workers.
FLEETS = {
    "tavua": {
        "region": "viti-levu",
        "slots": 20,
        "services": {
            "roomfinder": ["suva", "nadi", "lautoka"] * 2,
            "ledger": ["suva", "nadi", "lautoka", "suva"],
            "bookdesk": ["suva", "nadi", "lautoka"],
        },
    },
    "consorcio": {
        "region": "andina",
        "slots": 6,
        "services": {
            service: ["bogota-norte", "bogota-sur", "medellin-centro",
                      "medellin-oriente"]
            for service in ("vitrina", "taller", "bodega")
        },
    },
}


def pick_ports(count):
    """Returns `count` loopback ports that are free for TCP and UDP."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind(("127.0.0.1", 0))
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            udp.bind(tcp.getsockname())
            ports.append(tcp.getsockname()[1])
        except OSError:
            continue
    for one in held:
        one.close()
    return ports


def loopback_endpoint(port):
    return f"127.0.0.1:{port}"


def post(address, path):
    request = urllib.request.Request(f"http://{address}{path}", method="POST")
    with urllib.request.urlopen(request, timeout=5) as answer:
        return answer.read().decode()


class Worker:
    """A target and its node."""

    def __init__(self, service, number, zone, slots, ports):
        self.service, self.number, self.zone = service, number, zone
        self.slots = slots
        self.id = f"{service}-{number + 1}"
        self.callers, self.mesh, self.gossip, self.admin, self.target = (
            loopback_endpoint(port) for port in ports)
        self.process = None  # process of the target


class Fleet:
    """The targets and, unless `policy` is "direct", the nodes and a keeper."""

    def __init__(self, name, policy, folder, binaries, target_flags):
        """`target_flags(worker)` returns extra flags for its target."""
        plan = FLEETS[name]
        self.name, self.policy = name, policy
        self.region = plan["region"]
        self.folder, self.binaries = folder, binaries
        self.target_flags = target_flags
        self.processes = []
        self.workers = []
        count = sum(len(zones) for zones in plan["services"].values())
        ports = pick_ports(5 * count + 2)
        for service, zones in plan["services"].items():
            for number, zone in enumerate(zones):
                first = 5 * len(self.workers)
                self.workers.append(Worker(service, number, zone,
                                           plan["slots"],
                                           ports[first:first + 5]))
        self.keeper_control = loopback_endpoint(ports[-2])
        self.keeper_admin = loopback_endpoint(ports[-1])

    def services(self):
        return list(dict.fromkeys(w.service for w in self.workers))

    def of(self, service):
        return [w for w in self.workers if w.service == service]

    def start(self):
        for worker in self.workers:
            self.start_target(worker)
        if self.policy == "direct":
            self.wait_for_targets()
            return
        self.start_keeper()
        for worker in self.workers:
            self.start_node(worker)
        root = pathlib.Path(__file__).resolve().parents[2]
        self.apply(root / "examples" / f"{self.name}.yaml")
        self.wait_ready()

    def spawn(self, name, *command):
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()
        self.processes.append((name, process))
        return process

    def start_target(self, worker, extra=()):
        worker.process = self.spawn(
            f"target-{worker.id}", str(self.binaries / "faketarget"),
            f"--listen={worker.target}", f"--name={worker.id}",
            f"--slots={worker.slots}", f"--seed={stable_seed(worker.id)}",
            f"--run_log={self.run_log(worker)}",
            *self.target_flags(worker), *extra)

    def run_log(self, worker):
        return self.folder / f"runs-{worker.id}.log"

    def daemon(self, name, lines):
        path = self.folder / f"{name}.yaml"
        path.write_text("\n".join(lines) + "\n")
        self.spawn(name, str(self.binaries / "ibisvalved"), "--settings",
                   str(path))

    def start_keeper(self):
        data = self.folder / "keeper"
        data.mkdir()
        self.daemon("keeper-1", [
            "id: keeper-1", "role: keeper", f"region: {self.region}",
            f"zone: {self.workers[0].zone}",
            f"control: {self.keeper_control}", f"admin: {self.keeper_admin}",
            f"data: {data}", f"keepers: [{self.keeper_control}]"])

    def start_node(self, worker):
        seeds = ", ".join(w.gossip for w in self.workers[:2])
        self.daemon(worker.id, [
            f"id: {worker.id}", "role: node", f"region: {self.region}",
            f"zone: {worker.zone}", f"callers: {worker.callers}",
            f"mesh: {worker.mesh}", f"gossip: {worker.gossip}",
            f"admin: {worker.admin}", f"keepers: [{self.keeper_control}]",
            f"seeds: [{seeds}]", f"policy: {self.policy}", "target:",
            f"  service: {worker.service}", f"  endpoint: {worker.target}",
            f"  slots: {worker.slots}", "  health_path: /health"])

    def apply(self, file):
        subprocess.run([str(self.binaries / "ibisctl"), "apply", str(file),
                        "--admin", self.keeper_admin], check=True, timeout=60,
                       capture_output=True)

    def wait_for_targets(self):
        self.wait({w.id: w for w in self.workers},
                  lambda w: get(w.target, "/health") is not None)

    def wait_ready(self):
        """Waits until each node holds its lease and sees all targets ready."""
        self.wait({w.id: w for w in self.workers}, self.is_ready)

    def is_ready(self, worker):
        if get(worker.admin, "/healthz") is None:
            return False
        page = get(worker.admin, "/targets")
        ready = [t for t in json.loads(page)["targets"]
                 if t["target"] == "ready" and t["state"] == "alive"] if (
                     page) else []
        return len(ready) == len(self.workers)

    def wait(self, waiting, is_ready):
        end = time.monotonic() + START_LIMIT_S
        while waiting:
            for key in [k for k, w in waiting.items() if is_ready(w)]:
                del waiting[key]
            if waiting and time.monotonic() > end:
                raise RuntimeError(f"timed out waiting for {sorted(waiting)}; "
                                   f"logs are in {self.folder}")
            time.sleep(0.05)

    def endpoints(self, service):
        """Returns the endpoints to which callers of `service` send requests."""
        if self.policy == "direct":
            return [w.target for w in self.of(service)]
        return [w.callers for w in self.workers]

    def metrics(self):
        """Returns the sum of each metric over all nodes."""
        sums = {}
        for worker in [] if self.policy == "direct" else self.workers:
            for line in (get(worker.admin, "/metrics") or "").splitlines():
                if line.startswith("#") or " " not in line:
                    continue
                name, value = line.rsplit(" ", 1)
                sums[name] = sums.get(name, 0.0) + float(value)
        return sums

    def stop(self):
        for _, process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 5
        for _, process in self.processes:
            try:
                process.wait(timeout=max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def get(address, path):
    try:
        with urllib.request.urlopen(f"http://{address}{path}",
                                    timeout=2) as answer:
            return answer.read().decode()
    except (OSError, urllib.error.URLError):
        return None


def stable_seed(text):
    """Returns a seed for `text` that, unlike hash(), is stable across runs."""
    seed = 0
    for byte in text.encode():
        seed = (seed * 131 + byte) % (1 << 31)
    return seed


def find_binaries(build):
    folder = pathlib.Path(build) / "bin"
    for program in ("faketarget", "loadtool"):
        if not os.access(folder / program, os.X_OK):
            raise RuntimeError(f"{folder / program} is missing; build it first")
    return folder
