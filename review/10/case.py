"""Case 10: a request that crashes the replicas that run it, and that all machines
refuse, runs and crashes replicas again after a rolling restart of the machines."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from standins import *  # noqa: E402,F403

HOST, PREFIX = "desk.example", "/quote/"
POISON = b"a body that crashes the replicas that begin to run it"
STABLE_S = 4.0
BACK_S = 2.0
ROLL_GAP_S = 1.3
FIRST_S, LATER_S = 20, 25


class CrashingReplica(Replica):
    """Crashes when it begins to run the poison: all its connections end, it says
    nothing to the store, and it is back after some seconds with the same id."""

    arrivals = []

    async def handle(self, request, writer):
        is_meant = request.header("X-Expect-Instance") in (None, self.id)
        if request.body != POISON or not is_meant:
            return await super().handle(request, writer)
        attempt = request.header("X-Attempt-Id")
        self.arrivals.append(self.record.now())
        self.record.add("%s begins to run %s and crashes" % (self.id, attempt))
        self.beat.cancel()
        port = self.server.port
        self.server.stop()
        asyncio.create_task(self.come_back(port))
        return None

    async def come_back(self, port):
        await asyncio.sleep(BACK_S)
        self.server = await Server(self.server.host, self.handle, port).start()
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.register()
        self.beat = asyncio.create_task(self.keep_registered())
        self.record.add("%s is back" % self.id)


async def play(record):
    platform = Platform(record, {"lim-a": "lim", "aqp-a": "aqp", "lim-b": "lim"})
    try:
        return await run(platform, record)
    finally:
        platform.stop()


async def send_poison(machines, record, until):
    """The request comes again each second, at any machine in rotation."""
    turn = 0
    while record.now() < until:
        live = [m for m in machines if not m.is_leaving]
        machine = live[turn % len(live)]
        turn += 1
        answered = await call(
            machine.frontend, "POST", PREFIX + "7c",
            [("Host", HOST), ("X-Attempt-Id", job_id()), ("X-Deadline-Ms", "1200")],
            POISON, 3.0)
        record.add("the poison at %s: %s" % (machine.name, answered and answered[0]))
        await asyncio.sleep(1.0)


async def restart(machine, record):
    machine.is_leaving = True
    await machine.stop_and_start()
    while not await machine.is_ready():
        await asyncio.sleep(0.1)
    machine.is_leaving = False
    record.add("%s is ready again" % machine.name)


async def run(platform, record):
    for i, zone in enumerate(["lim-a", "aqp-a", "lim-b", "lim-a", "aqp-a", "aqp-a"]):
        platform.add_machine("edge-%s-%d" % (zone, i), zone).is_leaving = False
    for i, zone in enumerate(["lim-a", "lim-a", "aqp-a", "aqp-a", "lim-b"]):
        replica = CrashingReplica(platform.store, record, platform.net + str(100 + i),
                                  zone, "desk", "d-%d" % i, slots=6)
        platform.replicas.append(replica)
        await replica.start()
    route = {"Name": "quote", "Host": HOST, "Prefix": PREFIX, "Type": "safe",
             "TimeoutMs": 1200, "LatencyGoalMs": 200, "Priority": 2,
             "Service": "desk", "MaxAttempts": 2}
    await platform.configure([route], [service("desk")])
    await platform.start_all()
    machines = list(platform.machines.values())
    arrivals = CrashingReplica.arrivals

    await send_poison(machines, record, record.now() + FIRST_S)
    record.say("%d replicas crashed under the request at first" % len(arrivals))
    if len(arrivals) < 3:
        raise CannotRun("the request crashed fewer than three replicas")
    if trouble():
        restarts = []
        for machine in machines:
            restarts.append(asyncio.create_task(restart(machine, record)))
            await asyncio.sleep(ROLL_GAP_S)
        await asyncio.gather(*restarts)
    # From here on all machines and the store are in touch, and the third crash
    # is long past.
    await asyncio.sleep(STABLE_S + 1)
    begun = record.now()
    await send_poison(machines, record, begun + LATER_S)
    late = [at for at in arrivals if at >= begun]
    record.say("the request reached replicas %d times more, sent by machines in touch; "
               "three are allowed" % len(late))
    return len(late) <= 3


main(HERE, play)
