"""A replica crashes; an equal request that may run once runs twice later.

Three daemons serve one `unsafe` route with eight replicas. The replicas answer
orders for a certain article with status 500 after they have run them, and all
other orders with 200. One caller orders that article. With TROUBLE, the replica
crashes while it works on the order, and is back two seconds later; the caller
gets 502 and doesn't repeat the request. Later, other callers order the same
article. The rule is broken when one of their requests runs more than once.
"""

import asyncio
import itertools
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import deployment as dep

TROUBLE = os.environ.get("TROUBLE") != "0"
WORK_S = 0.3
DOWN_S = 2
LATER = 6
ORDER = b'{"article": "weathercock 7", "pieces": 1}'


async def on_request(replica, request, writer):
    replica.note_run(request)
    await asyncio.sleep(WORK_S)
    status = 500 if request.body == ORDER else 200
    writer.write(dep.encode_response(status, replica.headers(request), replica.body(request)))
    await writer.drain()
    return True


async def play(d):
    await d.store.start("127.0.0.1")
    runs = []

    async def start_replica(name, zone):
        replica = dep.Replica(d, "orders", name, zone)
        replica.on_request = on_request
        replica.runs = runs
        await replica.start()
        return replica

    replicas = [await start_replica(f"orders-{i}", dep.ZONES[i % 3]) for i in range(8)]
    d.configure([{"name": "r-orders", "host": dep.HOST, "prefix": "/orders/",
                  "route_type": "unsafe", "timeout_ms": 4000, "target_latency_ms": 600,
                  "priority": 1, "service": "orders", "max_attempts": 2}], ["orders"])
    await d.start_daemons()
    await asyncio.sleep(3)
    turn = itertools.cycle(d.daemons)

    def order(body):
        return d.request(next(turn), "/orders/new", "POST", 4000, body)

    await order(b'{"article": "mordant", "pieces": 2}')
    first = asyncio.ensure_future(order(ORDER))
    while not any(request.body == ORDER for _, request in runs):
        await asyncio.sleep(0.01)
    if TROUBLE:
        at_work = [r for r in replicas if r.writers and r.working]
        d.record.write(f"replica {at_work[0].name} crashes")
        at_work[0].crash()
    await first
    await asyncio.sleep(DOWN_S)
    if TROUBLE:
        await start_replica(at_work[0].name + "-again", at_work[0].zone)
        d.record.write("it is back as a new boot")
    await asyncio.sleep(6)
    answers = []
    for _ in range(LATER):
        answers.append(await order(ORDER))
        await asyncio.sleep(0.5)
    twice = 0
    for request_id, status, _ in answers:
        n = sum(run_id == request_id for run_id, _ in runs)
        if n > 1:
            twice += 1
            d.record.write(f"request {request_id} ran {n} times, answered {status}")
    if twice:
        return f"{twice} of {len(answers)} later requests ran more than once"
    return None


sys.exit(dep.run_case(FOLDER, play, daemons=3))
