"""Three nodes are killed at once; a frequent lookup that was on its way to their
workers is refused for minutes, though no worker ended: CONFIG, routes that were
added later."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-3"))
from fleet import *  # noqa: E402,F403

BEFORE_S = 5.0
DOWN_S = 2.0  # as `herd_kill` of the site files
CALM_S = 5.0  # after that, before requests are counted (stableWindowS is 3)
COUNTED_S = 25.0
WORK_S = 0.4
LIMIT_S = 2.0
EACH_S = 0.04  # pause between the requests of one machine on the later route
FIRST_HOST, LATER_HOST = "first.example", "later.example"


async def case(record, trouble):
    fleet = Fleet(record)
    results = []  # (time, host, status)
    tasks = set()

    async def consume(node, host, path):
        at, request, status = record.now(), new_id(), None
        try:
            status = (await call(node.address("outbound"), "GET", path, [
                ("Host", host), ("Request-Id", request),
                ("Deadline-Ms", str(int(LIMIT_S * 1000)))], limit=LIMIT_S + 0.3)).status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        results.append((at, host, status))
        record.write("request %s (%s) sent to %s at %.3f: %s" % (
            request, host, node.name, at, status))

    async def traffic():
        turn = 0
        while True:
            for node in fleet.nodes[3:]:
                pairs = [(LATER_HOST, "/later/timetable")]
                pairs += [(FIRST_HOST, "/first/%d" % turn)] * (turn % 4 == 0)
                for host, path in pairs:
                    task = asyncio.ensure_future(consume(node, host, path))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
            turn += 1
            await asyncio.sleep(EACH_S)

    def share(host, start, end):
        asked = [status for at, to, status in results if to == host and start <= at < end]
        return len(asked), sum(status == 200 for status in asked)

    flow = None
    try:
        for name in ("vitrina",) * 3 + ("bodega",) * 3:
            fleet.add_node(name)
        fleet.start()
        workers = [await Worker(machine, work_s=WORK_S).start() for machine in fleet.nodes]
        operator = Operator(fleet)
        await operator.put([route("r-first", FIRST_HOST, "/first/", "bodega", timeout_s=LIMIT_S),
                            service("vitrina"), service("bodega"), LIMITS])
        await operator.patch([route("r-later", LATER_HOST, "/later/", "vitrina",
                                    timeout_s=LIMIT_S)])
        await all_ready(fleet)
        await asyncio.sleep(1)
        start = record.now()
        flow = asyncio.ensure_future(traffic())
        await asyncio.sleep(BEFORE_S)
        killed_at = record.now()
        if trouble:
            for node in fleet.nodes[:3]:
                node.signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for node in fleet.nodes[:3]:
                node.process.wait()
                node.start()
        await asyncio.sleep(CALM_S)
        counted = record.now()
        await asyncio.sleep(COUNTED_S)
        end = record.now()
        flow.cancel()
        await asyncio.sleep(LIMIT_S + 0.5)
        if fleet.ended_by_itself():
            raise CannotRun("ended: %s" % fleet.ended_by_itself())
        await all_ready(fleet, 1)
        asked_before, served_before = share(LATER_HOST, start, killed_at)
        first, first_served = share(FIRST_HOST, counted, end)
        later, later_served = share(LATER_HOST, counted, end)
        runs = sum(at >= counted for worker in workers[:3] for at, _ in worker.runs)
        record.write("before: later route, %d asked, %d served" % (asked_before, served_before))
        record.write("steady state: first routes, %d asked, %d served" % (first, first_served))
        record.write("steady state: later routes, %d asked, %d served, %d runs at their workers"
                     % (later, later_served, runs))
        print("first routes: %d of %d served; later routes: %d of %d served, %d runs; "
              "before: %d of %d" % (first_served, first, later_served, later, runs,
                                    served_before, asked_before))
        if served_before * 2 < asked_before or first_served * 2 < first or first == 0:
            raise CannotRun("the traffic was not served in calm")
        return later >= 20 and later_served / later < first_served / first / 4
    finally:
        if flow:
            flow.cancel()
        fleet.close()


main(case)
