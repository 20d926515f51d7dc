"""Case 6: items of an accepted batch job are listed as lost after one failed
run, if the machine that accepts the job has no configuration yet."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from standins import *  # noqa: E402,F403

HOST, PREFIX, MODEL = "trainer.example", "/roll/", "m0"
JOBS = 15
MAX_ATTEMPTS = 3


async def play(record):
    platform = Platform(record, {"lim-a": "lim", "aqp-a": "aqp", "lim-b": "lim"})
    try:
        return await run(platform, record)
    finally:
        platform.stop()


async def run(platform, record):
    for i, zone in enumerate(["lim-a", "aqp-a", "lim-b", "lim-a", "aqp-a", "aqp-a"]):
        platform.add_machine("edge-%s-%d" % (zone, i), zone)
    failing = set()

    def answer(item, _):
        # The first run of one item of each job fails; all others succeed.
        runs = sum(replica.runs.get(item, 0) for replica in platform.replicas)
        return 500 if item in failing and runs == 1 else 200

    for i in range(4):
        replica = await platform.add_replica(
            zone="aqp-a", service="llm", name="i-%d" % i, models=[MODEL])
        replica.answer_item = answer
    await platform.configure([rollout_route("r", HOST, PREFIX, "llm", MAX_ATTEMPTS)],
                             [service("llm", [MODEL])])
    await platform.start_all()

    # The trainer's jobs arrive in aqp-a. A first job shows which machine accepts
    # them there.
    near = [m for m in platform.machines.values() if m.zone == "aqp-a"]
    lot = job_id()
    answered = await submit(near[0].frontend, HOST, PREFIX,
                            make_job(MODEL, PREFIX, 1, 2), lot)
    if answered is None or answered[0] != 202:
        raise CannotRun("the first job is not accepted")
    home = owner_of(platform, lot)
    entry = next(m for m in near if m is not home)
    record.say("%s accepts the trainer's jobs, %s receives them" % (home.name, entry.name))
    if trouble():
        # The machines that the settings name as seeds are gone for good.
        gone = [platform.silent_address(n) for n in range(3)]
        home.seeds = lambda: gone
        home.kill()
        await asyncio.sleep(0.5)
        await home.start()

    async def step(number):
        job, lot = make_job(MODEL, PREFIX, 1, 4), job_id()
        failing.add(job["Items"][0]["Id"])
        answered = await submit(entry.frontend, HOST, PREFIX, job, lot)
        status = answered and answered[0]
        record.add("job %d %s answered %s" % (number, lot, status))
        if status != 202:
            return []
        until = time.monotonic() + 25
        results = await read_all(entry.frontend, HOST, lot, 4, until, record)
        return [r["Id"] for r in results if r["State"] == "lost"]

    steps = []
    for number in range(JOBS):
        steps.append(asyncio.create_task(step(number)))
        await asyncio.sleep(0.1)
    lost = sum(await asyncio.gather(*steps), [])
    broken = 0
    for item in lost:
        runs = sum(replica.runs.get(item, 0) for replica in platform.replicas)
        record.say("item %s is lost; answers of 500: %d of %d" % (item, runs, MAX_ATTEMPTS))
        broken += runs < MAX_ATTEMPTS
    record.say("%d of %d jobs have an item that was lost too soon" % (broken, JOBS))
    return broken == 0


main(HERE, play)
