#!/usr/bin/env python3
"""Checks the instructions of one sub-request against docs/capacity/bounds.json.

Each program runs twice under callgrind with different counts. The difference,
divided by the number of added units, excludes the set-up. The result is the
same in each run and does not depend on the load of the machine, so CI can
compare it with a bound.
"""

import json
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def instructions(command):
    """Returns the instructions of one run, counted by callgrind."""
    result = subprocess.run(
        ["valgrind", "--tool=callgrind", "--callgrind-out-file=/dev/null"]
        + command, capture_output=True, text=True, check=True)
    match = re.search(r"Collected : (\d+)", result.stderr)
    if match is None:
        sys.exit(f"no instruction count from {' '.join(command)}")
    return int(match.group(1))


def per_unit(build, check):
    """Returns the additional instructions of the second run per added unit."""
    counts = []
    for arguments in (check["few"], check["many"]):
        program = str(build / check["program"])
        counts.append(instructions([program] + arguments))
    return (counts[1] - counts[0]) / check["added_units"]


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build")
    checks = json.loads((ROOT / "docs/capacity/bounds.json").read_text())
    failed = False
    for check in checks["checks"]:
        measured = per_unit(build, check)
        within = measured <= check["bound"]
        failed |= not within
        print(f"{'ok' if within else 'TOO MANY'}: {check['name']}: "
              f"{measured:.0f} instructions, bound {check['bound']}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
