"""An order that was withdrawn and given again is undone by a frozen keeper."""

import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
from fleet import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "suva"
FREEZE_S = 4.0
EVACUATION_S, MAX_SKEW_S = 5, 5


async def order(fleet, record, method, first):
    """Sends an order about the zone, first to `first`, and to the next keeper
    after a second without a response. Returns when it was acknowledged."""
    others = [core for core in fleet.cores if core is not first]
    for core in [first] + others:
        answer = await call(core.address("control"), method,
                            f"/api/evacuation/{ZONE}", timeout=1.0)
        status = answer.status if answer else None
        record.add(f"{method} evacuation of {ZONE} at {core.name}: {status}",
                   True)
        if status == 200:
            return record.now()
    return None


async def case(record):
    fleet = Fleet(5, ["ledger"] * 6)
    try:
        fleet.start()
        fleet.watch()
        workers = [Worker(machine, record) for machine in fleet.sides]
        for worker in workers:
            await worker.start()
        operator = Operator(fleet, record)
        state = [service("ledger"), limits(),
                 route("r1", "pay.example", "/pay/", "ledger")]
        if await operator.put(state) != 200:
            record.add("the first desired state was not acknowledged", True)
            return 2
        await asyncio.sleep(4)
        # A keeper that does not lead. The operator may send to any.
        slow = [core for core in fleet.cores
                if "became-leader" not in core.log_text()][0]
        sound = [core for core in fleet.cores if core is not slow][0]
        if await order(fleet, record, "POST", sound) is None:
            return 2
        await asyncio.sleep(3)
        if TROUBLE:
            record.add(f"{slow.name} freezes", True)
            slow.freeze()
        froze = record.now()
        if await order(fleet, record, "DELETE", slow) is None:
            return 2
        await asyncio.sleep(0.5)
        acknowledged = await order(fleet, record, "POST", sound)
        if acknowledged is None:
            return 2
        await asyncio.sleep(max(0.0, froze + FREEZE_S - record.now()))
        if TROUBLE:
            slow.thaw()
            record.add(f"{slow.name} wakes", True)
        bound = acknowledged + EVACUATION_S + MAX_SKEW_S
        while record.now() < bound + 6:
            await asyncio.gather(*[
                ask(record, machine, "pay.example", "/pay/1")
                for machine in fleet.sides])
            await asyncio.sleep(0.2)
        broken = sum(run[0] > bound for worker in workers
                     if worker.machine.zone == ZONE for run in worker.runs)
        record.add(f"EVAC: {broken} requests reached workers of {ZONE} more "
                   f"than evacuationS + maxSkewS after the ack", True)
        return 1 if broken else 0
    finally:
        fleet.close()


main(case, FOLDER)
