"""Runs a small Tavua Halls fleet on loopback: keepers, nodes and targets.

Started by ./demo. On exit, each process is stopped by its own process id.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

REGION = "viti-levu"
KEEPERS = 3
# One worker per entry: (service, zone, slots).
WORKERS = [
    ("roomfinder", "suva", 20),
    ("roomfinder", "nadi", 20),
    ("roomfinder", "lautoka", 20),
    ("ledger", "suva", 20),
    ("ledger", "nadi", 20),
    ("bookdesk", "suva", 20),
    ("bookdesk", "lautoka", 20),
]
START_LIMIT_S = 30
LOOKUPS = 60
BOOKINGS = 20


def pick_ports(count):
    """Returns `count` loopback ports that are free for TCP and UDP."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind(("127.0.0.1", 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            udp.bind(("127.0.0.1", port))
            ports.append(port)
        except OSError:
            continue
    for one in held:
        one.close()
    return ports


def loopback_endpoint(port):
    return f"127.0.0.1:{port}"


class Fleet:
    """The processes of the demo and their addresses."""

    def __init__(self, binaries, folder):
        self.binaries = pathlib.Path(binaries)
        self.folder = pathlib.Path(folder)
        self.processes = []
        self.nodes = []  # dicts: id, callers, admin, target
        self.keepers = []  # dicts: id, control, admin

    def start(self, name, *command):
        log = open(self.folder / f"{name}.log", "wb")
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append((name, process))

    def stop(self):
        for _, process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for name, process in self.processes:
            try:
                process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                print(f"demo: {name} did not exit within 10 s; killing it")
                process.kill()
                process.wait()

    def check_alive(self):
        for name, process in self.processes:
            if process.poll() is not None:
                tail = (self.folder / f"{name}.log").read_text()[-2000:]
                raise RuntimeError(
                    f"{name} exited with status {process.returncode}:\n{tail}")

    def daemon(self, name, settings):
        path = self.folder / f"{name}.yaml"
        path.write_text(settings)
        self.start(name, str(self.binaries / "ibisvalved"), "--settings",
                   str(path))

    def start_keepers(self):
        ports = pick_ports(2 * KEEPERS)
        for i in range(KEEPERS):
            self.keepers.append({"id": f"keeper-{i + 1}",
                                 "control": loopback_endpoint(ports[2 * i]),
                                 "admin": loopback_endpoint(ports[2 * i + 1])})
        for keeper in self.keepers:
            data = self.folder / keeper["id"]
            data.mkdir()
            self.daemon(keeper["id"], "\n".join([
                f"id: {keeper['id']}", "role: keeper", f"region: {REGION}",
                "zone: suva", f"control: {keeper['control']}",
                f"admin: {keeper['admin']}", f"data: {data}",
                f"keepers: [{', '.join(k['control'] for k in self.keepers)}]",
                ""]))

    def start_nodes(self):
        ports = pick_ports(5 * len(WORKERS))
        counts = {}
        seeds = [loopback_endpoint(ports[5 * i + 2]) for i in range(2)]
        for i, (service, zone, slots) in enumerate(WORKERS):
            counts[service] = counts.get(service, 0) + 1
            callers, mesh, gossip, admin, target = ports[5 * i:5 * i + 5]
            node = {"id": f"{service}-{counts[service]}", "zone": zone,
                    "service": service, "callers": loopback_endpoint(callers),
                    "admin": loopback_endpoint(admin),
                    "target": loopback_endpoint(target)}
            self.nodes.append(node)
            self.start(f"target-{node['id']}",
                       str(self.binaries / "faketarget"), "--listen",
                       node["target"], "--name", node["id"], "--slots",
                       str(slots), "--service-time", "2ms", "--run-log",
                       str(self.folder / f"runs-{node['id']}.log"))
            self.daemon(node["id"], "\n".join([
                f"id: {node['id']}", "role: node", f"region: {REGION}",
                f"zone: {zone}", f"callers: {node['callers']}",
                f"mesh: {loopback_endpoint(mesh)}",
                f"gossip: {loopback_endpoint(gossip)}",
                f"admin: {node['admin']}",
                f"keepers: [{', '.join(k['control'] for k in self.keepers)}]",
                f"seeds: [{', '.join(seeds)}]", "target:",
                f"  service: {service}", f"  endpoint: {node['target']}",
                f"  slots: {slots}", "  health_path: /health", ""]))

    def ctl(self, *words, check=True):
        admins = ",".join(k["admin"] for k in self.keepers)
        result = subprocess.run(
            [str(self.binaries / "ibisctl"), *words, "--admin", admins],
            capture_output=True, text=True, timeout=60)
        if check and result.returncode != 0:
            raise RuntimeError(f"ibisctl {' '.join(words)} exited with "
                               f"status {result.returncode}:\n{result.stdout}"
                               f"{result.stderr}")
        return result.stdout

    def wait_ready(self):
        """Waits until each node holds its lease and sees all targets ready."""
        end = time.monotonic() + START_LIMIT_S
        waiting = {node["id"] for node in self.nodes}
        while waiting:
            self.check_alive()
            for node in self.nodes:
                if node["id"] in waiting and self.is_ready(node):
                    waiting.discard(node["id"])
            if waiting and time.monotonic() > end:
                raise RuntimeError(f"timed out waiting for {sorted(waiting)}")
            time.sleep(0.05)

    def is_ready(self, node):
        try:
            with urllib.request.urlopen(f"http://{node['admin']}/healthz",
                                        timeout=2):
                pass
            with urllib.request.urlopen(f"http://{node['admin']}/targets",
                                        timeout=2) as answer:
                targets = json.load(answer)["targets"]
        except (OSError, urllib.error.URLError):
            return False
        ready = [t for t in targets
                 if t["target"] == "ready" and t["state"] == "alive"]
        return len(ready) == len(WORKERS)


def send_request(node, service, method, path, key=None):
    """Sends one request to `node`; returns status, outcome and body."""
    request = urllib.request.Request(f"http://{node['callers']}{path}",
                                     method=method)
    request.add_header("Ibis-Service", service)
    request.add_header("X-Request-Name", f"{method} {path}")
    if key:
        request.add_header("Idempotency-Key", key)
        request.data = f"booking {key}".encode()
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return (answer.status, answer.headers.get("Ibis-Outcome"),
                    answer.read().decode())
    except urllib.error.HTTPError as error:
        return (error.code, error.headers.get("Ibis-Outcome"),
                error.read().decode())


def send_requests(fleet):
    """Sends lookups and keyed Bookings; returns a list of errors."""
    wrong = []

    def lookup(i):
        node = fleet.nodes[i % len(fleet.nodes)]
        path = f"/rooms/{i}"
        got = send_request(node, "roomfinder", "GET", path)
        if got[0] != 200 or got[1] != "answered" or f"GET {path}" not in got[2]:
            wrong.append(f"lookup {path} through {node['id']}: {got}")

    def book(i):
        path = f"/bookings/{i}"
        for attempt in range(2):  # the caller repeats its Booking
            node = fleet.nodes[(i + attempt) % len(fleet.nodes)]
            got = send_request(node, "bookdesk", "POST", path, key=f"demo-{i}")
            if (got[0] != 200 or got[1] != "answered" or
                    f"POST {path}" not in got[2]):
                wrong.append(f"Booking {path} through {node['id']}: {got}")

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        list(pool.map(lookup, range(LOOKUPS)))
        list(pool.map(book, range(BOOKINGS)))
    wrong += count_runs(fleet)
    return wrong


def count_runs(fleet):
    """Checks that the targets logged exactly one run of each Booking."""
    runs = {}
    for log in fleet.folder.glob("runs-bookdesk-*.log"):
        for line in log.read_text().splitlines():
            for i in range(BOOKINGS):
                if f"key=demo-{i} " in line + " " and "start" in line:
                    runs[i] = runs.get(i, 0) + 1
    return [f"Booking {i} ran {runs.get(i, 0)} times" for i in range(BOOKINGS)
            if runs.get(i, 0) != 1]


def run(arguments):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="ibisvalve-demo-"))
    fleet = Fleet(arguments.bin, folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        fleet.start_keepers()
        fleet.start_nodes()
        example = pathlib.Path(__file__).parent.parent / "examples/tavua.yaml"
        print(fleet.ctl("apply", str(example)))
        fleet.wait_ready()
        wrong = send_requests(fleet)
        print(fleet.ctl("status"))
        print(f"{LOOKUPS} lookups and {BOOKINGS} Bookings, each Booking sent "
              f"twice: {len(wrong)} wrong")
        for line in wrong:
            print(f"  {line}")
        if arguments.once:
            return 1 if wrong else 0
        stay_up(fleet)
        return 0
    finally:
        fleet.stop()
        if not arguments.keep:
            shutil.rmtree(folder, ignore_errors=True)


def stay_up(fleet):
    node = fleet.nodes[0]
    admins = ",".join(k["admin"] for k in fleet.keepers)
    print("\nThe fleet is up until Ctrl-C. Try:")
    print(f"  curl -i -H 'Ibis-Service: roomfinder' "
          f"http://{node['callers']}/rooms/7")
    print(f"  curl -i -X POST -H 'Ibis-Service: bookdesk' "
          f"-H 'Idempotency-Key: mine' -d hall http://{node['callers']}"
          "/bookings/7")
    print(f"  {fleet.binaries}/ibisctl status --admin {admins}")
    print(f"  curl http://{node['admin']}/metrics")
    for name, process in fleet.processes:
        print(f"  process {process.pid}: {name}")
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print("\nstopping")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="directory of programs")
    parser.add_argument("--once", action="store_true",
                        help="send the requests, then exit")
    parser.add_argument("--keep", action="store_true",
                        help="keep logs and data")
    sys.exit(run(parser.parse_args()))


if __name__ == "__main__":
    main()
