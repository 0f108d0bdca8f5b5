"""Requests run after the last route has been removed."""

import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
from fleet import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ledger.tavua.example"
ROUNDS = 10


async def last_tenant(fleet, record, workers, operator):
    """The same for tenants: removes the only one. Returns how many requests
    ran with a key that no desired state ever held, or showed a worker the
    key."""
    tenant = {"type": "tenants", "metadata": {"name": "campus"},
              "spec": {"apiKeys": ["held"], "ratePerS": 0, "burst": 0}}
    if await operator.patch(upsert=[tenant, route(
            "r2", HOST, "/rooms/", "roomfinder")]) != 200:
        raise RuntimeError("the tenant was not acknowledged")
    await asyncio.sleep(BOUNDS["configS"] + 1)
    _, answer = await ask(record, fleet.sides[0], HOST, "/rooms/1", key="held")
    if answer is None or answer.status != 200:
        raise RuntimeError("the tenant's key does not work")
    if TROUBLE:
        if await operator.patch(remove={"tenants": ["campus"]}) != 200:
            raise RuntimeError("the removal of the tenant was not acknowledged")
        record.add("the removal of the only tenant is acknowledged", True)
    await asyncio.sleep(BOUNDS["configS"] + 1)
    never, dropped = set(), set()
    for _ in range(ROUNDS):
        for machine in fleet.sides:
            identity, _ = await ask(record, machine, HOST, "/rooms/1",
                                    key="never-held")
            never.add(identity)
            identity, _ = await ask(record, machine, HOST, "/rooms/1",
                                    key="held")
            dropped.add(identity)
    ran = {run[1] for worker in workers for run in worker.runs}
    shown = {identity for worker in workers for identity in worker.keys}
    record.add(f"ROUTE: {len(never & ran)} of {len(never)} requests ran whose "
               f"key no desired state ever held", True)
    record.add(f"UNASKED: the key itself was passed on to a worker with "
               f"{len((never | dropped) & shown)} of {len(never | dropped)} "
               f"requests", True)
    return len(never & ran) + len((never | dropped) & shown)


async def case(record):
    fleet = Fleet(3, ["ledger", "ledger", "roomfinder"])
    try:
        fleet.start()
        fleet.watch()
        workers = [Worker(machine, record) for machine in fleet.sides]
        for worker in workers:
            await worker.start()
        operator = Operator(fleet, record)
        state = [service("ledger"), service("roomfinder"), limits(),
                 route("r1", HOST, "/pay/", "ledger", "non_idempotent")]
        if await operator.put(state) != 200:
            record.add("the first desired state was not acknowledged", True)
            return 2
        # Longer than stableWindowS.
        await asyncio.sleep(4)
        _, answer = await ask(record, fleet.sides[2], HOST, "/pay/1", "POST",
                              b"deposit")
        if answer is None or answer.status != 200:
            record.add("the route does not work", True)
            return 2
        if TROUBLE:
            if await operator.patch(remove={"routes": ["r1"]}) != 200:
                record.add("the removal was not acknowledged", True)
                return 2
            record.add("the removal of the only route is acknowledged", True)
        await asyncio.sleep(BOUNDS["configS"] + 1)
        dropped, foreign = set(), set()
        for i in range(ROUNDS):
            for machine in fleet.sides:
                identity, _ = await ask(record, machine, HOST, f"/pay/{i}",
                                        "POST", b"deposit")
                dropped.add(identity)
                identity, _ = await ask(record, machine, HOST, f"/other/{i}")
                foreign.add(identity)
        ran = {run[1] for worker in workers for run in worker.runs}
        of_dropped = len(dropped & ran) if TROUBLE else 0
        of_foreign = len(foreign & ran)
        record.add(f"CONFIG: {of_dropped} of {len(dropped)} requests ran on a "
                   f"dropped route more than configS after the ack", True)
        record.add(f"ROUTE: {of_foreign} of {len(foreign)} requests ran for "
                   f"which no desired state ever had a route", True)
        keys = await last_tenant(fleet, record, workers, operator)
        return 1 if of_dropped or of_foreign or keys else 0
    finally:
        fleet.close()


main(case, FOLDER)
