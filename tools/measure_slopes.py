#!/usr/bin/env python3
"""Runs the cost programs and writes docs/capacity/slopes.json.

Instruction counts come from callgrind and are the same in each run. Processor
times and resident memory are those of one run and depend on the machine; their
"method" states this. With names as arguments, only these slopes are measured
again.
"""

import datetime
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs/capacity/slopes.json"
BUILD = "build"
CALLGRIND = ["valgrind", "--tool=callgrind", "--callgrind-out-file=/dev/null"]
ONE_RUN = "one run on a shared machine"
REPEATABLE = "instructions in user space, repeatable"

# name: (unit, program, arguments of the shorter and longer run, added units)
INSTRUCTIONS = {
    **{f"decisions_{n}": ("instructions/sub-request", "query-cost",
                          f"{n} 5", f"{n} 15", 10 * n)
       for n in (20, 100, 400, 1200)},
    "encode": ("instructions/sub-request", "state-cost",
               "encode 200", "encode 1200", 1000),
    "decode_10_hits": ("instructions/response", "state-cost",
                       "decode-10-hits 100", "decode-10-hits 600", 500),
    "decode_50_hits": ("instructions/response", "state-cost",
                       "decode-50-hits 100", "decode-50-hits 300", 200),
    "http_exchange": ("instructions/exchange", "transport-cost",
                      "http 500 1000", "http 3500 1000", 3000),
    "peer_round_trip_100": ("instructions/message and echo", "transport-cost",
                            "peer 1000 100", "peer 6000 100", 5000),
    "peer_round_trip_10000": ("instructions/message and echo", "transport-cost",
                              "peer 500 10000", "peer 1500 10000", 1000),
    "load_poll_decode": ("instructions/poll", "state-cost",
                         "load 100", "load 1100", 1000),
    "record_add": ("instructions/record", "state-cost",
                   "records 500", "records 2500", 2000),
    "grant_decide": ("instructions/grant, list of 7", "state-cost",
                     "grants 500", "grants 2500", 2000),
    "span_encode": ("instructions/span", "state-cost",
                    "spans 100", "spans 1100", 1000),
    "topology_parse_5700": ("instructions/document of 5,700 replicas, "
                            "rendering included", "state-cost",
                            "topology 1", "topology 5700", 1),
    "vm_list_parse_7000": ("instructions/list of 7,000 VMs, rendering "
                           "included", "state-cost", "vms 1", "vms 7000", 1),
    "control_64": ("instructions/daemon and second, both ends of a message",
                   "control-cost", "64 2", "64 12", 640),
    "control_128": ("instructions/daemon and second, both ends of a message",
                    "control-cost", "128 2", "128 12", 1280),
}

# name: (unit, program, arguments of both runs, field of the output, added)
OUTPUTS = {
    "replica_heap": ("bytes/replica", "state-cost", "replicas 1000",
                     "replicas 5000", "heap_bytes", 4000),
    "record_heap": ("bytes/record", "state-cost", "records 1000",
                    "records 9000", "heap_bytes", 8000),
    "grant_heap": ("bytes/grant", "state-cost", "grants 1000",
                   "grants 9000", "heap_bytes", 8000),
    "span_heap": ("bytes/span", "state-cost", "spans 1000", "spans 2000",
                  "heap_bytes", 1000),
    "topology_heap": ("bytes/replica", "state-cost", "topology 1000",
                      "topology 5700", "heap_bytes", 4700),
    "topology_document": ("bytes/replica", "state-cost", "topology 1000",
                          "topology 5700", "message_bytes", 4700),
    "vm_list_heap": ("bytes/VM", "state-cost", "vms 1000", "vms 7000",
                     "heap_bytes", 6000),
    "vm_list_document": ("bytes/VM", "state-cost", "vms 1000", "vms 7000",
                         "message_bytes", 6000),
    "member_update": ("bytes/update", "state-cost", "member-updates 0",
                      "member-updates 8", "message_bytes", 8),
    "grant_list_member": ("bytes/member of a list in a grant request",
                          "state-cost", "grant-list 7", "grant-list 1300",
                          "message_bytes", 1293),
    "response_hit": ("bytes/hit", "state-cost", "decode-10-hits 1",
                     "decode-50-hits 1", "message_bytes", 40),
    "connection_memory": ("resident bytes/connection", "transport-cost",
                          "http-memory 100 0", "http-memory 300 0",
                          "resident_bytes", 200),
    "link_memory": ("resident bytes/link", "transport-cost",
                    "peer-memory 50 0", "peer-memory 250 0",
                    "resident_bytes", 200),
}

# name: (unit, program, arguments, field)
SINGLE = {
    **{f"open_query_{n}": ("bytes/open query, after the fan-out", "query-cost",
                           f"{n} 10", "open_bytes")
       for n in (20, 100, 400, 1200)},
    **{f"answered_query_{n}": ("bytes/open query, all but one answered",
                               "query-cost", f"{n} 10", "answered_bytes")
       for n in (20, 100, 400, 1200)},
    "grant_request": ("bytes/request, list of 7", "state-cost", "grants 10",
                      "message_bytes"),
    "ping": ("bytes/probe without updates", "state-cost", "member-updates 0",
             "message_bytes"),
    "response_10_hits": ("bytes", "state-cost", "decode-10-hits 1",
                         "message_bytes"),
    "http_exchange_cpu": ("us/exchange, kernel included", "transport-cost",
                          "http 100000 1000", "cpu_us_each"),
    "peer_round_trip_100_cpu": ("us/message and echo, kernel included",
                                "transport-cost", "peer 200000 100",
                                "cpu_us_each"),
}

FLEETS = {8: 20, 64: 20, 256: 20, 512: 4, 1300: 4}


def run(command):
    environment = dict(os.environ, LC_ALL="C")
    return subprocess.run(command, capture_output=True, text=True, check=True,
                          env=environment, cwd=ROOT)


def program(name, arguments):
    return [f"{BUILD}/{name}"] + arguments.split()


def instructions(name, arguments):
    result = run(CALLGRIND + program(name, arguments))
    # A forked child process reports too; the last report is the parent's.
    return int(re.findall(r"Collected : (\d+)", result.stderr)[-1])


def output_field(name, arguments, key):
    text = run(program(name, arguments)).stdout
    return float(re.search(rf"{key}=([0-9.]+)", text)[1])


def slope(value, unit, command, method):
    return {"value": round(value, 3), "unit": unit, "command": command,
            "method": method, "cores": os.cpu_count(),
            "date": datetime.date.today().isoformat()}


def measure_instructions(is_selected):
    for name, (unit, tool, few, many, added) in INSTRUCTIONS.items():
        if is_selected(name):
            value = (instructions(tool, many) - instructions(tool, few)) / added
            yield name, slope(value, unit,
                              f"callgrind: {BUILD}/{tool} {few}, then {many}",
                              REPEATABLE)


def measure_outputs(is_selected):
    for name, (unit, tool, few, many, key, added) in OUTPUTS.items():
        if is_selected(name):
            value = (output_field(tool, many, key)
                     - output_field(tool, few, key)) / added
            method = ONE_RUN if "resident" in unit else "repeatable"
            yield name, slope(value, unit,
                              f"{BUILD}/{tool} {few}, then {many}", method)
    for name, (unit, tool, arguments, key) in SINGLE.items():
        if is_selected(name):
            method = ONE_RUN if unit.startswith("us/") else "repeatable"
            yield name, slope(output_field(tool, arguments, key), unit,
                              f"{BUILD}/{tool} {arguments}", method)


def measure_fleets(is_selected):
    for size, seconds in FLEETS.items():
        if not is_selected(f"fleet_{size}"):
            continue
        line = json.loads(run(program("control-cost",
                                      f"{size} {seconds}")).stdout)
        yield f"fleet_{size}", {
            **slope(0, "see fields; in-memory daemons with paused time",
                    f"{BUILD}/control-cost {size} {seconds}",
                    "repeatable, but cpu_us_per_s and kb_per_daemon: "
                    + ONE_RUN), "value": line}


def measure_ledgers(is_selected):
    if not is_selected("ledgers"):
        return
    lines = [json.loads(it) for it in
             run(program("control-cost", "")).stdout.splitlines()]
    values = {str(it["daemons"]): it["share_bytes_per_s"]
              for it in lines if it["demand"] == "none"}
    for it in lines:
        if it["demand"] != "none":
            values[f"{it['daemons']} moving"] = it["share_bytes_per_s"]
    yield "ledgers", {**slope(0, "share bytes/s and daemon, 10 limits",
                              f"{BUILD}/control-cost", "repeatable"),
                      "value": values}


def main():
    names = set(sys.argv[1:])
    slopes = json.loads(SLOPES.read_text()) if SLOPES.exists() else {}
    is_selected = lambda name: not names or name in names
    for measure in (measure_outputs, measure_instructions, measure_fleets,
                    measure_ledgers):
        for name, value in measure(is_selected):
            slopes[name] = value
            print(name, value["value"], value["unit"], flush=True)
            SLOPES.write_text(json.dumps(slopes, indent=1, sort_keys=True)
                              + "\n")


if __name__ == "__main__":
    main()
