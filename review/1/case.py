"""A planned replacement of a core machine, then the loss of two disks."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
import fleet as f  # noqa: E402


def play(record, new_fleet):
    fleet = new_fleet()
    for _ in range(5):
        fleet.add_core()
    fleet.start()
    resources = [f.service("taller"),
                 f.route("r-1", "jepu9.example", "/lepu270/", "taller"),
                 f.limits()]
    if fleet.put(resources, 20) != 200:
        raise f.CouldNotRun("the first desired state was not accepted")
    time.sleep(6)  # all five are members, and longer than catchUpS up

    # Planned replacement: the successor starts first and has its catchUpS.
    successor = fleet.add_core(bootstrap=False)
    successor.start()
    time.sleep(f.BOUNDS["catchUpS"] + 1)
    removed = fleet.cores[4]
    removed.signal(signal.SIGTERM)
    removed.process.wait(timeout=f.BOUNDS["graceS"])
    record.write("exit", machine=removed.name)
    fleet.cores.remove(removed)
    time.sleep(1)

    resources.append(f.route("r-2", "jepu9.example", "/zuvo/", "taller"))
    if fleet.put(resources, 10) != 200:
        raise f.CouldNotRun("the change after the replacement was not accepted")
    acknowledged = fleet.version
    record.write("acknowledged", version=f"{acknowledged:08x}")

    if f.trouble():
        # The final fault: as many machines as faultTolerance allows lose their
        # disks; they restart at their old addresses, with bootstrap = false.
        lost = fleet.cores[:f.TOLERATED_MACHINES]
        for machine in lost:
            machine.kill()
        for machine in lost:
            machine.replace_disk()
            machine.bootstrap = False
        time.sleep(1.2)
        for machine in lost:
            machine.start()
    # The operator reads back for far longer than recoverS.
    end = time.monotonic() + 2 * f.BOUNDS["recoverS"]
    back = []
    while time.monotonic() < end:
        for machine in fleet.cores:
            status, version = fleet.read(machine, timeout=3.5)
            if status == 200:
                back.append((record.now(), version))
        if len(back) >= 10:
            break
        time.sleep(0.5)
    older = [version for _, version in back if version < acknowledged]
    record.say(f"reads of the desired state answered with 200: {len(back)}, "
               f"of them older than acknowledged: {len(older)}")
    return bool(back) and not older


f.main(__file__, play)
