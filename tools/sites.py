#!/usr/bin/env python3
"""Scores the regression sites and compares them with what was reached before.

Plays the sites of docs/sites.json one after the other with the users' bench,
reads the result of each from the journal, and prints a table. A mean worth that
is lower by more than NOISE, a failed gate or a broken rule is a regression.
With --update, the results become the ones that later runs are compared with.

Usage: tools/sites.py --bench PROGRAM --sites FOLDER [--jobs N] [--update]
       [--why TEXT] [SITE...]

Exit code: 0 no regression, 1 regression, 2 the bench or a site is not there or
gave no result.
"""

import argparse
import json
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEPT = ROOT / "docs" / "sites.json"

# Differences up to this are noise: the bench measures processor time.
NOISE = 0.03

# The figures that are kept for each site.
FIGURES = ("mean_worth", "worst_windows", "prices")


def summarize(entry):
    """Returns the figures of a score from its journal entry."""
    standard = [day for day in entry["days"]
                if not day["name"].startswith("fresh")]
    trouble = [day for day in standard if day["kind"] != "quiet"]
    if not trouble:
        return None

    def mean(values):
        values = list(values)
        return round(sum(values) / len(values), 3)

    return {
        "mean_worth": mean(day["G"] for day in trouble),
        "worst_windows": mean(
            value for day in trouble
            for name, _, value in day["parts"] if name == "worst windows"),
        "prices": mean(
            sum(price for _, _, price in day["prices"]) for day in trouble),
        "rules_broken": sorted({rule for day in entry["days"]
                                for rule in day["rules"]}),
        "gate": all(day["gate"] for day in entry["days"]),
    }


def find_regressions(kept, now):
    """Returns what has become worse, as texts."""
    found = []
    if not now["gate"]:
        found.append("gate failed")
    if now["rules_broken"]:
        found.append("rules broken: " + ", ".join(now["rules_broken"]))
    if kept and now["mean_worth"] < kept["mean_worth"] - NOISE:
        found.append(f"mean worth: got {now['mean_worth']:.3f}, expected at "
                     f"least {kept['mean_worth'] - NOISE:.3f}")
    return found


def row(site, kept, now, regressions):
    """Returns one line of the table."""
    figures = []
    for name in FIGURES:
        before = f"{kept[name]:.3f}" if kept else "-"
        figures.append(f"{before} -> {now[name]:.3f}")
    return " | ".join([site, *figures, "; ".join(regressions) or "ok"])


def score(arguments, site):
    """Plays one site and returns its journal entry, or None."""
    command = [str(arguments.bench), "score", str(arguments.sites / site),
               "--jobs", str(arguments.jobs), "--why", arguments.why]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True,
                            check=False)
    snapshot = re.search(r"^snapshot (\w+)$", result.stdout, re.MULTILINE)
    if snapshot is None:
        print(f"{site}: no result: {result.stdout[-300:]}{result.stderr[-300:]}",
              file=sys.stderr)
        return None
    files = sorted((ROOT / "journal").glob(f"*-{snapshot.group(1)}.json"))
    return json.loads(files[-1].read_text()) if files else None


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--bench", type=pathlib.Path, required=True)
    parser.add_argument("--sites", type=pathlib.Path, required=True)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--why", default="Regression run of all sites")
    parser.add_argument("--update", action="store_true")
    parser.add_argument("site", nargs="*")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    arguments.bench = arguments.bench.resolve()
    arguments.sites = arguments.sites.resolve()
    kept = json.loads(KEPT.read_text())
    sites = arguments.site or list(kept)
    for path in [arguments.bench] + [arguments.sites / it for it in sites]:
        if not path.is_file():
            print(f"not found: {path}", file=sys.stderr)
            return 2
    code = 0
    print("site | mean worth | worst windows | prices | result")
    for site in sites:
        entry = score(arguments, site)
        now = summarize(entry) if entry else None
        if now is None:
            code = 2
            continue
        regressions = find_regressions(kept.get(site), now)
        print(row(site, kept.get(site), now, regressions), flush=True)
        if regressions:
            code = max(code, 1)
        kept[site] = {name: now[name] for name in FIGURES}
    if arguments.update and code == 0:
        KEPT.write_text(json.dumps(kept, indent=2) + "\n")
    return code


if __name__ == "__main__":
    sys.exit(main())
