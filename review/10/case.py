"""Case 10: an item that each replica answers with 422 reaches replicas a fourth
time, since a machine that hands a batch job over does not tell its failures."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from standins import *  # noqa: E402,F403

HOST, PREFIX, MODEL = "trainer.example", "/roll/", "m0"
ROLL_GAP_S = 1.2


async def play(record):
    platform = Platform(record, {"lim-a": "lim", "aqp-a": "aqp", "lim-b": "lim"})
    try:
        return await run(platform, record)
    finally:
        platform.stop()


async def run(platform, record):
    for i, zone in enumerate(["lim-a", "aqp-a", "lim-b", "lim-a", "aqp-a", "aqp-a"]):
        platform.add_machine("edge-%s-%d" % (zone, i), zone)
    for i in range(4):
        # Items take some 4 s, so that no group is complete while machines stop.
        await platform.add_replica(zone="aqp-a", service="llm", name="i-%d" % i,
                                   models=[MODEL], event_s=0.1, events=40)
    await platform.configure([rollout_route("r", HOST, PREFIX, "llm")],
                             [service("llm", [MODEL])])
    await platform.start_all()
    entry = next(m for m in platform.machines.values() if m.zone == "aqp-a")
    job, lot = make_job(MODEL, PREFIX, 4, 4), job_id()
    refused = job["Items"][0]["Id"]
    for replica in platform.replicas:
        replica.answer_item = lambda item, _: 422 if item == refused else 200
    answered = await submit(entry.frontend, HOST, PREFIX, job, lot)
    if answered is None or answered[0] != 202:
        raise CannotRun("the job is not accepted")
    owners = [owner_of(platform, lot)]
    restarts = []
    for _ in range(3 if trouble() else 0):
        await asyncio.sleep(ROLL_GAP_S)
        # The platform stops the machines in turn, those that run the job first.
        owner = owner_of(platform, lot)
        owners.append(owner)
        restarts.append(asyncio.create_task(owner.stop_and_start()))
    until = time.monotonic() + 25
    reader = next(m for m in platform.machines.values() if m not in owners)
    results = await read_all(reader.frontend, HOST, lot, 16, until, record)
    await asyncio.gather(*restarts)
    record.say("stopped in turn: %s" % ", ".join(m.name for m in owners[1:]))
    answers = sum(replica.runs.get(refused, 0) for replica in platform.replicas)
    lost = [r["Id"] for r in results if r["State"] == "lost"]
    record.say("%d results, lost: %s; the item was answered 422 %d times, three are allowed" % (
        len(results), lost == [refused], answers))
    return answers <= 3


main(HERE, play)
