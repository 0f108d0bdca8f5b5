"""A worker says that it is gone, then the node beside it is killed and restarted."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
import actors as a  # noqa: E402
import fleet as f  # noqa: E402

HOST = "jepu9.example"
DEADLINE_MS = 2000
CONSUMERS = 40
SERVES_ON_S = 9     # after the ack: drainS "and a little longer (at times many seconds)"
HEARTBEAT_LATE_S = 3  # "A heartbeat may arrive seconds late"
DOWN_S = 0.5


async def serve(worker, method, path, headers, body, writer):
    await asyncio.sleep(0.1)
    return 200, b"booked"


async def consume(record, side, stopping, answers):
    while not stopping.is_set():
        connection = a.Connection(record, side)
        try:
            await connection.open()
            answer = connection.send("POST", "/lepu270/booking", HOST, DEADLINE_MS)
            answers.append(answer)
            await asyncio.wait_for(connection.receive(answer), 3)
        except (OSError, asyncio.TimeoutError):
            pass
        connection.close()
        await asyncio.sleep(0.01)


async def run(record, fleet):
    workers = [a.Worker(record, side, 40, serve) for side in fleet.sides]
    for worker in workers:
        await worker.start()
    for side in fleet.sides:
        await asyncio.to_thread(fleet.wait_until, lambda s=side: fleet.ready(s), 20,
                                "a node is not ready")
    await asyncio.sleep(f.BOUNDS["stableWindowS"] + 1)
    stopping, answers = asyncio.Event(), []
    tasks = [asyncio.create_task(consume(record, fleet.sides[0], stopping, answers))
             for _ in range(CONSUMERS)]
    await asyncio.sleep(2)
    leaving = workers[1]
    if not leaving.runs:
        raise f.CouldNotRun("the second worker got no request")
    # Its last heartbeat goes out, but is held up on its way.
    leaving.stop_heartbeats()
    late = leaving.next_heartbeat()
    sent_at = record.now()
    # It never reports `draining`: it says DELETE first, and serves on.
    while (await leaving.call("DELETE", {"born": leaving.born}))[0] // 100 != 2:
        await asyncio.sleep(0.1)
    gone_at = record.now()
    record.write("acknowledged-gone", worker=leaving.id)
    machine = fleet.sides[1]
    restarted_at = gone_at
    if f.trouble():
        await asyncio.sleep(0.2)
        machine.kill()
        await asyncio.sleep(DOWN_S)
        machine.bootstrap = False
        machine.start()
        restarted_at = record.now()
    await asyncio.sleep(sent_at + HEARTBEAT_LATE_S - record.now())
    status, _ = await leaving.call("PUT", late)
    record.write("late-heartbeat", worker=leaving.id, status=status)
    await asyncio.sleep(gone_at + SERVES_ON_S - record.now())
    await leaving.stop()  # it exits
    ended_at = record.now()
    record.write("worker-exits", worker=leaving.id)
    await asyncio.sleep(1)
    stopping.set()
    await asyncio.gather(*tasks)
    # The machines are in touch from stableWindowS after the start on.
    judged_from = max(gone_at + f.BOUNDS["drainS"],
                      restarted_at + f.BOUNDS["stableWindowS"]) + 0.2
    reached = [request for request, _, _, at in leaving.timed_runs
               if judged_from < at < ended_at]
    broken = [answer for answer in answers if answer.request in set(reached)
              and not answer.status // 100 == 2]
    record.say(f"requests that reached the worker from {judged_from - gone_at:.1f} s "
               f"after the ack that it is gone: {len(reached)}; of them without a "
               f"success, since it exited: {len(broken)}")
    await workers[0].stop()
    return not reached


def play(record, new_fleet):
    fleet = new_fleet()
    for _ in range(3):
        fleet.add_core()
    fleet.add_side("taller")
    fleet.add_side("taller")
    fleet.start()
    resources = [f.service("taller"),
                 f.route("r-1", HOST, "/lepu270/", "taller", kind="non_idempotent",
                         timeout_s=2, latency_s=0.5),
                 f.limits()]
    if fleet.put(resources, 20) != 200:
        raise f.CouldNotRun("the desired state was not accepted")
    return asyncio.run(run(record, fleet))


f.main(__file__, play)
