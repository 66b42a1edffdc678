"""All replicas of a service crash while a popular request is at work.

Three daemons serve two services of three replicas each. The route of the
second is added later. Its callers ask for one page again and again, as for the
front page of a catalogue. With TROUBLE, the three replicas of that service
crash, and are back after 4.5 s. Requests are counted from 12 s after that. The
rule is broken when the later route is served less than a quarter as often as
the first one.
"""

import asyncio
import itertools
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import deployment as dep

TROUBLE = os.environ.get("TROUBLE") != "0"
DOWN_S = 4.5
CALM_S = 12
COUNTED_S = 15
WORK_S = 0.12
APPLY_S = 4  # longer than config_apply_ms


def route(service):
    return {"name": "r-" + service, "host": dep.HOST, "prefix": f"/{service}/",
            "route_type": "safe", "timeout_ms": 1500, "target_latency_ms": 250,
            "priority": 1, "service": service, "max_attempts": 2}


async def play(d):
    await d.store.start("127.0.0.1")
    replicas = {service: [dep.Replica(d, service, f"{service}-{i}", dep.ZONES[i], WORK_S)
                          for i in range(3)] for service in ("listing", "archive")}
    for replica in replicas["listing"] + replicas["archive"]:
        await replica.start()
    d.configure([route("listing")], ["listing"])
    await d.start_daemons()
    await asyncio.sleep(2)
    d.configure([route("listing"), route("archive")], ["listing", "archive"])
    await asyncio.sleep(APPLY_S)
    turn = itertools.cycle(d.daemons)
    served = {"listing": [0, 0], "archive": [0, 0]}
    tasks = set()

    async def ask(service, path, count):
        _, status, _ = await d.request(next(turn), path, deadline_ms=1500)
        if count:
            served[service][0] += status == 200
            served[service][1] += 1

    async def load(seconds, count=False):
        until = d.record.now() + seconds
        for i in itertools.count():
            if d.record.now() >= until:
                break
            for service, path in (("listing", f"/listing/{i % 7}"),
                                  ("archive", "/archive/front-page")):
                task = asyncio.ensure_future(ask(service, path, count))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.025)

    await load(5)
    if TROUBLE:
        d.record.write("the replicas of archive crash")
        for replica in replicas["archive"]:
            replica.crash()
    await load(DOWN_S)
    if TROUBLE:
        for replica in replicas["archive"]:
            again = dep.Replica(d, "archive", replica.name + "-again", replica.zone, WORK_S)
            await again.start()
        d.record.write("the replicas of archive are back, each as a new boot")
    await load(CALM_S)
    d.record.write("requests are counted from now on")
    await load(COUNTED_S, count=True)
    while tasks:
        await asyncio.sleep(0.1)
    d.record.write(f"served, of: {served}")
    first, later = (served[s][0] / served[s][1] for s in ("listing", "archive"))
    if later < first / 4:
        return ("served of the route that was added later: "
                f"{served['archive'][0]} of {served['archive'][1]}; of the first route: "
                f"{served['listing'][0]} of {served['listing'][1]}")
    return None


sys.exit(dep.run_case(FOLDER, play, daemons=3))
