#!/usr/bin/env python3
"""Tests the comparison of tools/sites.py with journal entries made up here."""

import importlib.util
import json
import pathlib
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
SPEC = importlib.util.spec_from_file_location("sites", ROOT / "tools/sites.py")
sites = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(sites)


def make_day(name, worth, kind="trouble", **changes):
    day = {"name": name, "kind": kind, "G": worth, "gate": True, "rules": {},
           "parts": [["whole day", 0.4, 0.9], ["worst windows", 0.1, worth / 2]],
           "prices": [["memory", 3.0, 0.01], ["cloud calls", 9.0, 0.02]]}
    day.update(changes)
    return day


class SitesTest(unittest.TestCase):
    KEPT = {"mean_worth": 0.6, "worst_windows": 0.3, "prices": 0.03}

    def test_means_are_of_the_standard_days_with_trouble(self):
        now = sites.summarize({"days": [
            make_day("quiet-1", 0.9, "quiet"), make_day("trouble-1", 0.5),
            make_day("scale-1", 0.7), make_day("fresh-12", 0.1)]})
        self.assertEqual(now["mean_worth"], 0.6)
        self.assertEqual(now["worst_windows"], 0.3)
        self.assertEqual(now["prices"], 0.03)
        self.assertEqual(sites.find_regressions(self.KEPT, now), [])

    # Guards against a run that passes although a site has become worse.
    def test_each_kind_of_regression_is_found(self):
        worse = sites.summarize({"days": [make_day("trouble-1", 0.569)]})
        self.assertIn("mean worth",
                      sites.find_regressions(self.KEPT, worse)[0])
        noise = sites.summarize({"days": [make_day("trouble-1", 0.571)]})
        self.assertEqual(sites.find_regressions(self.KEPT, noise), [])
        gate = sites.summarize({"days": [
            make_day("trouble-1", 0.6),
            make_day("fresh-12", 0.6, gate=False)]})
        self.assertEqual(sites.find_regressions(self.KEPT, gate),
                         ["gate failed"])
        rules = sites.summarize({"days": [
            make_day("trouble-1", 0.6, rules={"TWICE": 1})]})
        self.assertEqual(sites.find_regressions(self.KEPT, rules),
                         ["rules broken: TWICE"])

    def test_a_score_without_days_gives_no_result(self):
        self.assertIsNone(sites.summarize({"days": []}))

    def test_a_site_without_kept_results_is_printed(self):
        now = sites.summarize({"days": [make_day("trouble-1", 0.5)]})
        self.assertIn("- -> 0.500", sites.row("x", None, now, []))

    def test_the_kept_results_are_complete(self):
        for site, kept in json.loads(sites.KEPT.read_text()).items():
            self.assertEqual(set(kept), set(self.KEPT), site)


if __name__ == "__main__":
    unittest.main()
