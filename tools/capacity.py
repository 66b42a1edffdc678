#!/usr/bin/env python3
"""Computes the tables of docs/CAPACITY.md from sizes and measured slopes.

A slope is a cost per unit, for example instructions per sub-request. Without
arguments the script rewrites the tables between their markers; with --check it
fails when a table of the page differs from the computed one. Each function in
TABLES has the name of its marker.
"""

import json
import math
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/CAPACITY.md"
FOLDER = ROOT / "docs/capacity"
DAY_SECONDS = 86400


class Inputs:
    """Sizes as attributes, and slopes by name."""

    def __init__(self):
        sizes = json.loads((FOLDER / "sizes.json").read_text())
        self.slopes = json.loads((FOLDER / "slopes.json").read_text())
        self.assumed = sizes["assumed"]
        values = {**sizes["target"], **sizes["today"],
                  **{k: v["value"] for k, v in self.assumed.items()}}
        for name, value in values.items():
            setattr(self, name, value)
        self.sub_requests = self.queries_per_s * self.fan_out
        self.node_queries = self.queries_per_s / self.nodes
        self.node_sub_requests = self.sub_requests / self.nodes
        self.replica_sub_requests = self.sub_requests / self.replicas
        self.owned = self.replicas / self.nodes

    def slope(self, name):
        return self.slopes[name]["value"]

    def seconds(self, instructions):
        return instructions / self.instructions_per_s


def format_cell(value):
    """Formats a number with three significant digits below 100, and as a whole
    number from 100 on. Strings are returned unchanged."""
    if isinstance(value, str):
        return value
    if isinstance(value, int) or value == 0 or abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.{max(0, 2 - math.floor(math.log10(abs(value))))}f}"


def table(header, rows):
    """Returns a Markdown table."""
    lines = ["| " + " | ".join(header) + " |",
             "| " + " | ".join("---" for _ in header) + " |"]
    lines += ["| " + " | ".join(format_cell(c) for c in row) + " |"
              for row in rows]
    return "\n".join(lines)


def demand(x):
    return table(["quantity", "value"], [
        ["sub-requests/s, all", x.sub_requests],
        ["queries/s per node", x.node_queries],
        ["sub-requests/s per node", x.node_sub_requests],
        ["sub-requests/s per replica", x.replica_sub_requests],
        ["replicas per node", x.owned],
        ["replicas per shard, when all serve one index",
         x.replicas / x.fan_out],
        ["open queries per node, each open for the whole deadline",
         x.node_queries * x.answer_ms / 1000],
        ["longest time in a slot that serves the demand as it comes (us)",
         x.slots / x.replica_sub_requests * 1e6],
        ["bytes/s of responses into a node (MB/s, 10 hits each)",
         x.node_sub_requests * x.slope("response_10_hits") / 1e6]])


def sub_request_seconds(x, exchanges=1.0):
    """Processor time of one sub-request at a daemon: decisions, decoding of
    the response, and `exchanges` times encoding and the HTTP exchange."""
    fixed = x.slope("decisions_1200") + x.slope("decode_10_hits")
    return (x.seconds(fixed) + exchanges
            * (x.seconds(x.slope("encode"))
               + x.slope("http_exchange_cpu") * 1e-6))


def batch_size(x):
    return max(1.0, x.replica_sub_requests * x.batch_ms / 1000)


def processor(x):
    rows = []
    batched = 1 / batch_size(x)
    for name, exchanges in (("direct, one exchange each", 1.0),
                            (f"batches of {x.batch_ms} ms at the owner of a "
                             "replica", batched)):
        seconds = sub_request_seconds(x, exchanges)
        rows.append([name, seconds * 1e6, 1 / seconds,
                     x.node_sub_requests * seconds])
    seconds = sub_request_seconds(x, batched)
    saving = x.node_sub_requests * seconds / x.utilisation
    rows.append(["the same, saving needed for one core at "
                 f"{x.utilisation:.0%}", seconds * 1e6, 1 / seconds,
                 f"factor {saving:.1f}"])
    return table(["form", "us per sub-request", "sub-requests/s per core",
                  "cores per node"], rows)


def savings(x):
    rows = []
    for ms in x.service_ms:
        rate = x.slots / (ms / 1000) * x.utilisation
        rows.append([f"{ms} ms", rate, x.replica_sub_requests / rate,
                     rate * x.replicas / x.fan_out])
    return table(["time in a slot", "sub-requests/s a replica can serve",
                  "needed saving (factor)",
                  "queries/s that can be served without a saving"], rows)


def distinct_share(x, seconds):
    """Expected ratio of distinct queries to queries within a time, if the
    frequency of a query is proportional to 1/rank."""
    ranks = range(1, x.distinct_queries + 1)
    total = sum(1 / r for r in ranks)
    arrivals = x.queries_per_s * seconds
    distinct = sum(1 - math.exp(-arrivals / (r * total)) for r in ranks)
    return distinct / arrivals


def collapsing(x):
    rows = []
    for name, seconds in (("while one is in flight (150 ms)", 0.15),
                          ("answer kept for 1 s of its snapshot", 1),
                          ("kept for 10 s", 10), ("kept for 60 s", 60)):
        share = distinct_share(x, seconds)
        rows.append([name, f"{share:.1%}", 1 / share,
                     x.replica_sub_requests * share])
    return table(["identical (customer, snapshot, query) collapsed",
                  "queries that run", "saving (factor)",
                  "sub-requests/s per replica left"], rows)


def pruning(x):
    factor = 1 / distinct_share(x, 1)
    rows = []
    for ms in x.service_ms:
        rate = x.slots / (ms / 1000) * x.utilisation
        saving = x.replica_sub_requests / rate / factor
        if saving <= 1:
            rows.append([f"{ms} ms", "none", x.fan_out])
        else:
            rows.append([f"{ms} ms", f"{1 - 1 / saving:.1%}",
                         x.fan_out / saving])
    return table(["time in a slot",
                  "shards that pruning must skip, after collapsing for 1 s",
                  "shards left per query"], rows)


def expected_occupied(bins, balls):
    """Expected number of bins with at least one of the randomly placed
    balls."""
    return bins * (1 - (1 - 1 / bins) ** balls)


def fan_out(x):
    region = x.nodes / x.regions
    flat = expected_occupied(x.nodes, x.fan_out)
    per_group = x.fan_out / x.groups
    members = region / x.groups
    inner = expected_occupied(members, per_group)
    peer_us = x.slope("peer_round_trip_100_cpu")
    rows = []
    batch = x.batch_ms / 1000
    frames_flat = min(x.node_queries * flat, (x.nodes - 1) / batch)
    frames_inner = min(x.node_queries * x.groups * inner, (members - 1) / batch)
    rows.append(["direct to replicas (today)", x.fan_out, 0, x.replicas, 0, 0])
    rows.append(["flat over the owners", flat, flat, x.nodes - 1, frames_flat,
                 frames_flat * peer_us * 1e-6])
    rows.append([f"two levels, {x.groups} groups in each region", x.groups,
                 x.groups * (1 + inner), x.groups * 2 + members - 1,
                 x.node_queries * x.groups + frames_inner,
                 (x.node_queries * x.groups + frames_inner) * peer_us * 1e-6])
    return table(["form", "answers merged at the entry",
                  "peer messages per query", "links per node",
                  "frames/s sent per node", "cores for frames"], rows)


def connections(x):
    per_node = x.owned * x.connection_limit
    half = x.connection_limit // 2
    memory = x.slope("connection_memory")
    return table(["form", "connections per replica", "connections per daemon",
                  "MB per daemon"], [
        ["share of each daemon, floor(25 / 1,300)", 0, 0, 0],
        ["every daemon one connection (not allowed)", x.nodes, x.replicas,
         x.replicas * memory / 1e6],
        ["one owner per replica", x.connection_limit, per_node,
         per_node * memory / 1e6],
        ["two owners per replica, half each", 2 * half, 2 * half * x.owned,
         2 * half * x.owned * memory / 1e6]])


FLEETS = (8, 64, 256, 512, 1300)


def delay(x):
    rows = []
    for n in FLEETS:
        it = x.slope(f"fleet_{n}")
        rows.append([n, it["change_ms"], it["change_ms_10_percent_loss"],
                     it["change_bytes"],
                     math.ceil(math.log(n) / math.log(1 + x.push_fan_out))])
    return table(["daemons", "change in force everywhere (ms)",
                  "with 10 % of messages lost (ms)",
                  "bytes sent per daemon and change", "log5 of the daemons"],
                 rows)


def reads(x):
    readers = x.readers_per_data_centre * x.data_centres
    steady = readers * (1 + (x.keys - 1) / x.watch_s)
    start = x.nodes * x.keys
    later = (x.keys - 1) * x.nodes / x.startup_read_rate
    peak = x.nodes / x.startup_jitter_s + x.startup_read_rate
    least = start / x.platform_reads_per_s
    read = x.nodes + x.startup_read_rate * x.startup_window_s
    allowed = x.platform_reads_per_s
    return table(["case", "value", "share of the allowed rate"], [
        ["steady: readers", readers, ""],
        ["steady: reads/s, computed", steady, f"{steady / allowed:.1%}"],
        ["steady: reads/s, measured at 1,300",
         x.slope("fleet_1300")["platform_reads_per_s"], ""],
        ["all start, before: reads/s in the first "
         f"{x.old_startup_jitter_s} s", start / x.old_startup_jitter_s,
         f"{start / x.old_startup_jitter_s / allowed:.0%}"],
        ["all start: least spread of all four reads at the allowed rate (s)",
         least, ""],
        ["all start, now: bound on the reads of a second", peak,
         f"{peak / allowed:.0%}"],
        ["all start, now: spread of the later reads (s)", later, ""],
        ["all start, now: bound on all reads when peers answer", read, ""],
        ["all start, now: reads of the first 12 s, measured",
         x.slope("fleet_1300")["startup_reads"], ""]])


def control_rows(x):
    fleet = x.slope("fleet_1300")
    vm_list = x.slope("vm_list_document") * (x.nodes + x.replicas)
    versions = (x.replacements_per_day * x.lists_per_replacement
                + x.failures_per_day * 2)
    sends = fleet["messages_per_s"]
    ping = x.slope("ping") + x.wire_overhead
    resent = x.retransmit_factor * math.ceil(math.log2(x.nodes + 1))
    member = (sends * ping
              + versions / DAY_SECONDS * resent * x.slope("member_update"))
    heartbeats = 1 / x.heartbeat_s * (32 + 104)
    polls = 2 / x.poll_s * x.poll_bytes
    ledger = x.slope("ledgers")
    per_peer = (ledger["64 moving"] - ledger["32 moving"]) / 32
    records = 2 * x.node_queries * x.slope("record_heap")
    changes = x.changes_per_day / DAY_SECONDS * x.customers_bytes
    delta = (versions / DAY_SECONDS
             * (x.slope("member_update") + x.wire_overhead) * 2)
    return [
        ("membership and digests", member, member),
        ("configuration values", changes,
         x.changes_per_day / DAY_SECONDS * (2000 + x.push_fan_out * 100)),
        ("VM list versions", versions / DAY_SECONDS * vm_list, delta),
        ("heartbeats", heartbeats * (x.nodes - 1),
         heartbeats / 4 * x.gossip_links),
        ("polls of replicas", x.replicas * polls, x.owned * x.poll_bytes / 4),
        ("share ledger, 10 limits, demand moves every 5 s",
         ledger["64 moving"] + per_peer * (x.nodes - 64), ledger["8 moving"]),
        ("request records, two copies", records,
         records / 1000)]


def control(x):
    rows = control_rows(x)
    present = sum(r[1] for r in rows)
    named = sum(r[2] for r in rows)
    cells = [[r[0], r[1], r[2]] for r in rows]
    cells.append(["sum", present, named])
    cells.append(["allowed", x.control_bytes_per_s, x.control_bytes_per_s])
    fleet = x.slope("fleet_1300")
    peak = fleet["bytes_per_s"] + fleet["messages_per_s"] * x.wire_overhead
    cells.append(["membership, all slots for updates in use (measured)", peak,
                  peak])
    return table(["bytes/s sent per daemon", "present design",
                  "named design"], cells)


def failures(x):
    per_centre = x.nodes / x.data_centres
    detect = x.probe_s + x.probe_timeout_s + x.suspicion_s
    rows = []
    for name, nodes in (("one VM", 1), ("a rack", x.nodes_per_rack),
                        ("a data centre", per_centre),
                        ("a region", x.nodes / x.regions)):
        share = nodes / x.nodes
        rows.append([name, nodes, x.owned * nodes,
                     x.node_queries * nodes * x.answer_ms / 1000,
                     f"{1 / (1 - share) - 1:.1%}", detect,
                     detect + x.connection_limit // 2 * x.connect_ms / 1000,
                     x.hold_s])
    return table(["what fails", "daemons", "replicas with a new owner",
                  "open queries lost", "more load on the others",
                  "detected after (s)", "owners changed and connected (s)",
                  "shares raised after its VMs leave the list (s)"], rows)


def churn(x):
    versions = (x.replacements_per_day * x.lists_per_replacement
                + x.failures_per_day * 2)
    interval = DAY_SECONDS / versions
    kept = (x.id_lifetime_s + x.hold_s) / interval
    shortest = (x.id_lifetime_s + x.hold_s) / x.max_write_lists
    sends = x.retransmit_factor * math.ceil(math.log2(x.nodes + 1))
    update_bytes = sends * x.slope("member_update")
    list_bytes = x.slope("grant_list_member") * x.nodes
    return table(["quantity", "value"], [
        ["list versions a day", versions],
        ["seconds between two versions", interval],
        ["lists that the write registry keeps, on average", kept],
        ["lists that it may keep", x.max_write_lists],
        ["shortest mean time between versions that it can carry (s)",
         shortest],
        ["shortest time of a restart of the whole fleet, one after another "
         "(h)", shortest * x.lists_per_replacement * x.nodes / 3600],
        ["times a daemon sends one member update", sends],
        ["bytes/s of member updates per daemon",
         versions / DAY_SECONDS * update_bytes],
        ["time in which parsing a VM list stops the event loop (ms; at most, "
         "the slope includes rendering)",
         x.seconds(x.slope("vm_list_parse_7000")) * 1000],
        ["the same for the services document",
         x.seconds(x.slope("topology_parse_5700")) * 1000],
        ["bytes of a grant request, one list of all VMs", list_bytes],
        ["bytes of a grant request, group of 7", x.slope("grant_request")],
        ["grants kept per node at 1,000 writes/s, all VMs asked",
         1000 * x.id_lifetime_s],
        ["the same, groups of 7", 1000 * x.id_lifetime_s * 7 / x.nodes]])


def memory(x):
    open_queries = x.node_queries * x.answer_ms / 1000
    grants = 1000 * x.id_lifetime_s
    fleet = x.slope("fleet_1300")
    rows = [
        ["open queries (1,200 shards, answered)",
         open_queries * x.slope("answered_query_1200") / 1e6, ""],
        ["response bodies of open queries",
         open_queries * x.fan_out * x.slope("response_10_hits") / 1e6, ""],
        ["member table, configuration machine",
         fleet["kb_per_daemon"] / 1000, "control"],
        ["topology", x.replicas * x.slope("topology_heap") / 1e6, "control"],
        ["its document", x.replicas * x.slope("topology_document") / 1e6,
         "control"],
        ["VM list and its document", (x.nodes + x.replicas)
         * (x.slope("vm_list_heap") + x.slope("vm_list_document")) / 1e6,
         "control"],
        ["statistics of all replicas",
         x.replicas * x.slope("replica_heap") / 1e6, "control"],
        ["record ring and copies", 2 * x.record_ring_bytes / 1e6, "control"],
        ["grants at 1,000 writes/s, all VMs asked",
         grants * x.slope("grant_heap") / 1e6, "control"],
        ["grants, groups of 7",
         grants * 7 / x.nodes * x.slope("grant_heap") / 1e6, ""],
        ["links, full mesh", x.nodes * x.slope("link_memory") / 1e6,
         "control"]]
    total = sum(r[1] for r in rows if r[2])
    rows.append(["sum of the rows marked control", total,
                 f"allowed {x.control_mb}"])
    return table(["state", "MB per daemon", "counted"], rows)


def control_cpu(x):
    fleet = x.slope("fleet_1300")["cpu_us_per_s"] / 1e4
    polls = x.slope("load_poll_decode")
    exchange = x.slope("http_exchange_cpu") * 1e-6
    poll = (x.seconds(polls) + exchange) * 100
    all_polls = x.replicas * 2 / x.poll_s
    record = x.seconds(x.slope("record_add")) * x.node_queries * 3 * 100
    spans = x.seconds(x.slope("span_encode")) * x.node_sub_requests * 100
    vms = (x.replacements_per_day * x.lists_per_replacement / DAY_SECONDS
           * x.seconds(x.slope("vm_list_parse_7000")) * 100)
    heartbeats = (x.nodes - 1) / x.heartbeat_s * (
        x.slope("peer_round_trip_100_cpu") * 1e-4)
    heartbeats_named = heartbeats * x.gossip_links / (x.nodes - 1)
    return table(["percent of a core per daemon", "present design",
                  "named design"], [
        ["membership, election, digests", fleet, fleet],
        ["heartbeats", heartbeats, heartbeats_named],
        ["polls", all_polls * poll, x.owned * poll / 4],
        ["VM list versions", vms, "delta"],
        ["records with two copies (by request)", record, record],
        ["a span for each sub-request", spans, spans / 10000],
        ["allowed for control", x.control_core_percent,
         x.control_core_percent]])


def records(x):
    each = x.slope("record_heap")
    return table(["quantity", "value"], [
        ["records/s per node", x.node_queries],
        ["bytes per record in the ring", each],
        ["seconds that a ring of 32 MB reaches back",
         x.record_ring_bytes / each / x.node_queries],
        ["MB for one hour", x.node_queries * each * 3600 / 1e6]])


def query_cost(x):
    return table(["shards", "instructions per sub-request, decisions alone",
                  "bytes of an open query", "with all but one answered"],
                 [[n, x.slope(f"decisions_{n}"), x.slope(f"open_query_{n}"),
                   x.slope(f"answered_query_{n}")]
                  for n in (20, 100, 400, 1200)])


def slopes(x):
    rows = []
    for name, it in sorted(x.slopes.items()):
        value = it["value"]
        if isinstance(value, dict):
            value = "see slopes.json"
        rows.append([f"`{name}`", value, it["unit"], f"`{it['command']}`",
                     it["method"], str(it["cores"]), it["date"]])
    return table(["slope", "value", "unit", "command", "method", "cores",
                  "date"], rows)


def assumptions(x):
    return table(["assumption", "value", "reason"],
                 [[f"`{k}`", f"{v['value']}", v["why"]]
                  for k, v in x.assumed.items()])


TABLES = {it.__name__: it for it in (
    demand, processor, savings, collapsing, pruning, fan_out, connections,
    delay, reads, control, control_cpu, failures, churn, memory, records,
    query_cost, slopes, assumptions)}
MARKED = re.compile(r"<!-- table: (\w+) -->\n(.*?)<!-- end -->", re.S)


def update_tables(page):
    """Returns the page with the computed tables between the markers."""
    inputs = Inputs()
    missing = set(TABLES) - {m[1] for m in MARKED.finditer(page)}
    if missing:
        sys.exit(f"docs/CAPACITY.md has no marker for: {sorted(missing)}")
    return MARKED.sub(
        lambda m: f"<!-- table: {m[1]} -->\n{TABLES[m[1]](inputs)}\n"
                  "<!-- end -->", page)


def main():
    page = PAGE.read_text()
    updated = update_tables(page)
    if "--check" not in sys.argv[1:]:
        PAGE.write_text(updated)
        return 0
    if page != updated:
        print("docs/CAPACITY.md differs from its tables; run make capacity")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
