"""A worker's DELETE is acknowledged, then all processes are killed; a heartbeat
of before the DELETE makes it a ready worker again: DRAIN."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-3"))
from fleet import *  # noqa: E402,F403

KILL_AFTER_S = 0.3  # after the ack
DOWN_S = 0.9  # "back within a second"
LATE_S = 3.0  # how late the heartbeat is
# Twice stableWindowS after the last start, as a final fault took the whole core.
IN_TOUCH_S = 6.5
SERVES_ON_S = 16.0  # after the ack
HOST = "lookup.example"


async def case(record, trouble):
    fleet = Fleet(record)
    tasks = set()
    flow = None

    async def consume(node):
        request, status = new_id(), None
        try:
            status = (await call(node.address("outbound"), "GET", "/lookup/" + request, [
                ("Host", HOST), ("Request-Id", request), ("Deadline-Ms", "1000")],
                limit=1.3)).status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        record.write("request %s sent to %s: %s" % (request, node.name, status))

    async def traffic():
        while True:
            for node in fleet.nodes:
                task = asyncio.ensure_future(consume(node))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.05)

    try:
        for name in ("vitrina", "vitrina", "taller"):
            fleet.add_node(name)
        fleet.start()
        workers = [await Worker(machine, slots=2, work_s=0.05).start() for machine in fleet.nodes]
        operator = Operator(fleet)
        await operator.put([route("r-lookup", HOST, "/lookup/", "vitrina"),
                            service("vitrina"), service("taller"), LIMITS])
        await all_ready(fleet)
        await first_answer(fleet, fleet.nodes[2], HOST, "/lookup/first")
        await asyncio.sleep(2)
        leaving = workers[0]
        late_beat = leaving.next_beat()
        sent = record.now()
        record.write("worker %s sends a heartbeat (ready) that will be %.1f s late" % (
            leaving.identity, LATE_S))
        ack = await leaving.deregister()
        if ack is None:
            raise CannotRun("the DELETE was not acknowledged")
        started = ack
        if trouble:
            await asyncio.sleep(KILL_AFTER_S)
            for machine in fleet.keepers + fleet.nodes:
                machine.signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for machine in fleet.keepers + fleet.nodes:
                machine.process.wait()
                machine.start()
            started = record.now()
        await asyncio.sleep(max(0, sent + LATE_S - record.now()))
        status = await leaving.heartbeat(late_beat)
        record.write("the late heartbeat arrives: %d" % status)
        flow = asyncio.ensure_future(traffic())
        await asyncio.sleep(max(0, ack + SERVES_ON_S - record.now()))
        flow.cancel()
        await asyncio.sleep(0.2)
        await leaving.stop()
        if fleet.ended_by_itself():
            raise CannotRun("ended: %s" % fleet.ended_by_itself())
        await all_ready(fleet, 1)
        bound = max(ack + DRAIN_S, started + IN_TOUCH_S)
        late = [at for at, _ in leaving.runs if at > bound]
        others = sum(at > bound for at, _ in workers[1].runs)
        record.write("runs later than %.1f s after the ack: %d at the worker that left, %d at "
                     "the other" % (bound - ack, len(late), others))
        print("runs later than %.1f s after the ack: %d at the worker that left, %d at the other" % (
            bound - ack, len(late), others))
        if not others:
            raise CannotRun("no request was served")
        return bool(late)
    finally:
        if flow:
            flow.cancel()
        fleet.close()


main(case)
