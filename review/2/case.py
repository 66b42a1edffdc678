"""SIGTERM while requests wait at the daemon for a replica.

Ten requests that may run once are sent to one daemon. Their service has two
replicas, each of which works 2.2 s on a request, so most of them wait at the
daemon. All of them are answered within the 12 s that the caller and the route
allow. With TROUBLE, the daemon gets SIGTERM one second after they were sent,
and SIGKILL after grace_s. The rule is broken when a request that the daemon
has read, and that has reached no replica, ends without an answer.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import deployment as dep

TROUBLE = os.environ.get("TROUBLE") != "0"
WORK_S = 2.2
BUDGET_MS = 12000
GRACE_S = 6
STABILITY_S = 4
LOSS_SLACK_S = 0.2
REQUESTS = 10


async def play(d):
    await d.store.start("127.0.0.1")
    replicas = [dep.Replica(d, "report", f"report-{i}", dep.ZONES[i], work_s=WORK_S)
                for i in range(2)]
    for replica in replicas:
        await replica.start()
    d.configure([{"name": "r-report", "host": dep.HOST, "prefix": "/report/",
                  "route_type": "unsafe", "timeout_ms": BUDGET_MS,
                  "target_latency_ms": 8000, "priority": 1, "service": "report",
                  "max_attempts": 1}], ["report"])
    await d.start_daemons()
    await asyncio.sleep(STABILITY_S + 1)
    daemon = d.daemons[0]
    sent = [asyncio.ensure_future(
        d.request(daemon, f"/report/{i}", "POST", BUDGET_MS, b"x" * 300))
        for i in range(REQUESTS)]
    await asyncio.sleep(1)
    unread = daemon.unread_bytes()
    d.record.write(f"bytes that daemon 0 has not read of its callers: {unread}")
    if unread:
        raise dep.CannotRun("the daemon has not read the requests")
    stopped_at = d.record.now()
    if TROUBLE:
        daemon.signal(signal.SIGTERM)
        while daemon.process.poll() is None:
            if d.record.now() > stopped_at + GRACE_S:
                daemon.signal(signal.SIGKILL)
                daemon.process.wait()
            await asyncio.sleep(0.02)
        d.record.write(f"daemon 0 ended with status {daemon.process.returncode}, "
                       f"{d.record.now() - stopped_at:.2f} s after SIGTERM")
    answers = [await task for task in sent]
    ran = {request_id for replica in replicas for request_id, _ in replica.runs}
    cut = [request_id for request_id, status, _ in answers if status is None]
    # Those at work when the process ended are excused, so only the others count.
    lost = [request_id for request_id in cut if request_id not in ran]
    d.record.write(f"without an answer: {len(cut)} of {len(answers)}, "
                   f"{len(lost)} of them had reached no replica")
    if lost:
        return (f"{len(lost)} requests were read more than {LOSS_SLACK_S} s before, "
                "reached no replica, and their connections ended without an answer")
    return None


sys.exit(dep.run_case(FOLDER, play))
