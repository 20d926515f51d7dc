"""Case 10: requests smuggled inside others reach replicas: in a header value of an
item of a batch job, and in the body of a CONNECT request."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from standins import *  # noqa: E402,F403

HOST, PREFIX, MODEL = "trainer.example", "/roll/", "m0"
PLAIN = {"Name": "p", "Host": HOST, "Prefix": "/plain/", "Type": "unsafe",
         "TimeoutMs": 1200, "LatencyGoalMs": 200, "Priority": 2, "Service": "desk",
         "MaxAttempts": 2}


async def play(record):
    platform = Platform(record, {"lim-a": "lim", "aqp-a": "aqp", "lim-b": "lim"})
    try:
        return await run(platform, record)
    finally:
        platform.stop()


async def run(platform, record):
    for i, zone in enumerate(["lim-a", "aqp-a", "lim-b"]):
        platform.add_machine("edge-%s-%d" % (zone, i), zone)
    for i in range(2):
        await platform.add_replica(zone="lim-a", service="llm", name="i-%d" % i,
                                   models=[MODEL])
    desk = await platform.add_replica(zone="lim-a", service="desk", name="d-0")
    await platform.configure([rollout_route("r", HOST, PREFIX, "llm"), PLAIN],
                             [service("llm", [MODEL]), service("desk")])
    await platform.start_all()
    machine = next(iter(platform.machines.values()))

    job, lot = make_job(MODEL, PREFIX, 1, 4), job_id()
    sent = {item["Id"]: item for item in job["Items"]}
    for item in job["Items"]:
        note = "a note"
        if trouble():
            note += ("\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                     "POST /elsewhere/1 HTTP/1.1\r\nX-Attempt-Id: %s\r\nX-Rest: b"
                     % (item["Id"], "hidden" + item["Id"][:8]))
        item["Headers"]["X-Note"] = note
    answered = await submit(machine.frontend, HOST, PREFIX, job, lot)
    record.say("the job is answered %s" % (answered and answered[0]))
    if answered is None:
        raise CannotRun("the job got no answer")
    if answered[0] == 202:
        await read_all(machine.frontend, HOST, lot, len(sent), time.monotonic() + 6, record)
    # A request whose body is another request. Without the trouble its method is
    # POST; with it CONNECT, whose body is announced by its length all the same.
    hidden = "hidden" + job_id()[:8]
    body = ("POST /plain/2 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
            "Content-Length: 0\r\n\r\n" % (HOST, hidden)).encode()
    outer, method, target = job_id(), "POST", "/plain/1"
    if trouble():
        method, target = "CONNECT", HOST + ":80"
    answered = await call(machine.frontend, method, target,
                          [("Host", HOST), ("X-Attempt-Id", outer)], body, 2.0)
    record.say("the %s request is answered %s" % (method, answered and answered[0]))
    await asyncio.sleep(0.5)
    sent[outer] = {"Path": target, "Body": base64.b64encode(body).decode()}
    broken = 0
    record.say("the plain replica ran: %s" % ", ".join(
        attempt for _, attempt, _, _, _ in desk.seen))
    for replica in platform.replicas:
        for at, attempt, target, body, _ in replica.seen:
            item = sent.get(attempt)
            is_sent = (item is not None and target == item["Path"] and
                       body == base64.b64decode(item["Body"]))
            record.add("%s ran %s %s with %d bytes, sent so by the client: %s" % (
                replica.id, attempt, target, len(body), is_sent))
            broken += not is_sent
    record.say("%d runs of requests that the client did not send so" % broken)
    return broken == 0


main(HERE, play)
