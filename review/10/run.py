"""A worker that is acknowledged as gone is used again."""

import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
from fleet import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 2.5  # how late the heartbeat arrives
SERVES_ON_S = 10.0  # how long the worker goes on after the ack


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
                 route("r1", "pay.example", "/pay/", "ledger")]
        if await operator.put(state) != 200:
            record.add("the first desired state was not acknowledged", True)
            return 2
        await asyncio.sleep(4)
        # The worker crashes and is back: a new boot with a new id.
        machine = fleet.sides[0]
        await workers[0].stop()
        record.add(f"the worker beside {machine.name} ends", True)
        await asyncio.sleep(1)
        again = Worker(machine, record)
        await again.start(beats=False)
        first = again.entry()
        record.add(f"it starts again as {again.identity} and sends its first "
                   f"heartbeat", True)

        async def beat():
            await asyncio.sleep(LATE_S if TROUBLE else 0)
            answer = await again.send(first)
            record.add(f"the heartbeat arrives: "
                       f"{answer.status if answer else None}", True)

        late = asyncio.ensure_future(beat())
        await asyncio.sleep(1)
        # It is told to leave, and says so before its next heartbeat is due.
        answer = await again.send(
            ('{"born":%d}' % again.born).encode(), "DELETE")
        acknowledged = record.now()
        record.add(f"DELETE: {answer.status if answer else None}", True)
        if answer is None or answer.status != 200:
            return 2
        while record.now() < acknowledged + SERVES_ON_S:
            await asyncio.gather(*[
                ask(record, each, "pay.example", "/pay/1")
                for each in fleet.sides])
            await asyncio.sleep(0.1)
        await late
        await again.stop()
        bound = acknowledged + BOUNDS["drainS"]
        broken = [run for run in again.runs if run[0] > bound]
        record.add(f"DRAIN: {len(broken)} requests reached the worker later "
                   f"than drainS after the ack", True)
        return 1 if broken else 0
    finally:
        fleet.close()


main(case, FOLDER)
