"""Tests of scripts/short-bounds on an installation that is worked out by hand."""

import copy
import importlib.machinery
import importlib.util
import pathlib
import sys
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "short-bounds"


def load_script():
    sys.dont_write_bytecode = True  # keeps scripts/ free of caches
    loader = importlib.machinery.SourceFileLoader("short_bounds", str(SCRIPT))
    spec = importlib.util.spec_from_loader("short_bounds", loader)
    module = importlib.util.module_from_spec(spec)
    sys.modules["short_bounds"] = module
    loader.exec_module(module)
    return module


bounds = load_script()


def size(mean):
    return {"mean": mean, "spread": 0.5}


# Four machines with links of 8 Mbit/s: 1 MB/s, less 6 %. Two of them, one in
# each zone, hold the targets of `files`, the others those of `index`. Each
# class gets 10 requests/s.
SITE = {
    "length_s": 10.0,
    "bounds": {"drain_ms": 1000.0, "outer_ms": 2000.0},
    "machines": [
        {"app": app, "zone": zone, "count": 1, "link_mbps": 8}
        for app in ("files", "index")
        for zone in ("north", "south")
    ],
    "services": [
        {"name": "files", "slots": 1, "speeds": [0.5, 1.5], "cold_s": 1.0},
        {"name": "index", "slots": 2, "speeds": [1.0], "cold_s": 1.0},
    ],
    "classes": [
        {
            "name": "download",
            "service": "files",
            "work_ms": size(100.0),
            "resp_bytes": size(100_000.0),
            "calls": [{"class": "lookup", "times": 1, "share": 0.5}],
        },
        {
            "name": "search",
            "service": "index",
            "work_ms": size(350.0),
            "resp_bytes": size(0.0),
        },
        {"name": "lookup", "service": "index", "inner": True, "work_ms": size(100.0)},
    ],
    "traffic": [
        {"zone": zone, "mix": {"download": 1, "search": 1}, "per_s": 10.0}
        for zone in ("north", "south")
    ],
    "day": [],
}


def day_of(*events, site=None, **fields):
    day = {"name": "day", "floor_classes": [0.5], "plan": list(events)} | fields
    return bounds.Day(bounds.Site(site or SITE), day)


def resource(day, name):
    return next(r for r in day.resources if r.name == name)


class Resources(unittest.TestCase):
    def test_slots_are_held_while_a_run_waits_for_its_calls(self):
        slots = resource(day_of(), "slots of files")

        self.assertAlmostEqual(2.0, slots.capacity)
        self.assertAlmostEqual(10 * (0.1 + 0.5 * 0.1), slots.loads["download"].amount)

    def test_calls_take_slots_of_the_service_that_they_go_to(self):
        slots = resource(day_of(), "slots of index")

        self.assertAlmostEqual(4.0, slots.capacity)
        self.assertAlmostEqual(10 * 0.5 * 0.1, slots.loads["download"].amount)
        self.assertAlmostEqual(10 * 0.35, slots.loads["search"].amount)

    def test_answers_to_callers_on_the_same_machine_cross_no_link(self):
        links = resource(day_of(), "links of files")

        self.assertAlmostEqual(2 * 1_000_000 * 0.94, links.capacity)
        self.assertAlmostEqual(10 * 100_000 / 2, links.loads["download"].amount)


class Shares(unittest.TestCase):
    def test_everything_is_served_below_the_capacity(self):
        day = day_of()

        self.assertEqual(1.0, day.share(day.resources, high=True))

    def test_without_a_choice_by_size_the_share_is_capacity_by_demand(self):
        load = {"download": bounds.Load(4.0, 0.5)}
        slots = bounds.Resource("slots of files", "files", 1.0, load)

        self.assertAlmostEqual(0.25, slots.share(1, 1, by_size=False), places=5)
        self.assertAlmostEqual(0.125, slots.share(0.5, 1, by_size=False), places=5)
        self.assertAlmostEqual(0.125, slots.share(1, 2, by_size=False), places=5)

    def test_small_requests_first_serve_more_of_them(self):
        load = {"download": bounds.Load(4.0, 0.5)}
        slots = bounds.Resource("slots of files", "files", 1.0, load)

        # Half a sigma above the quantile of a quarter.
        expected = bounds.NORMAL.cdf(bounds.NORMAL.inv_cdf(0.25) + 0.5)
        self.assertAlmostEqual(expected, slots.share(1, 1, by_size=True), places=5)


class Losses(unittest.TestCase):
    def test_an_evacuated_zone_is_lost_after_its_delay_for_certain(self):
        day = day_of({"kind": "evacuate", "at": 1.0, "for_s": 6.0, "zone": "north"})

        self.assertEqual(1.0, day.availability("files", 2.0, high=True))
        self.assertEqual(0.5, day.availability("files", 2.0, high=False))
        self.assertEqual(0.5, day.availability("files", 4.0, high=True))
        self.assertEqual(1.0, day.availability("files", 7.5, high=False))

    def test_a_loss_that_is_drawn_counts_in_the_low_share_only(self):
        day = day_of({"kind": "scale_in", "at": 5.0, "share": 0.5})

        self.assertEqual(1.0, day.availability("files", 6.0, high=True))
        self.assertEqual(0.5, day.availability("files", 6.0, high=False))

    def test_a_loss_of_a_named_service_spares_the_others(self):
        day = day_of({"kind": "srv_crash", "at": 0.0, "share": 0.5, "service": "index"})

        self.assertEqual(1.0, day.availability("files", 1.0, high=False))
        self.assertEqual(0.5, day.availability("index", 1.0, high=True))

    def test_a_burst_raises_what_is_asked(self):
        day = day_of({"kind": "burst", "at": 2.0, "for_s": 2.0, "x": 3.0})

        self.assertEqual(3.0, day.demand(3.0))
        self.assertEqual(1.0, day.demand(5.0))

    def test_shares_are_weighted_by_what_is_asked_and_by_time(self):
        site = copy.deepcopy(SITE)
        site["classes"][0]["resp_bytes"] = size(376_000.0)
        day = day_of({"kind": "scale_in", "at": 5.0, "share": 0.5}, site=site)
        links = [resource(day, "links of files")]

        # 1.88 MB/s are asked and passed, and half of it from the fifth second.
        self.assertAlmostEqual(1.0, day.share(links, high=True), places=5)
        self.assertAlmostEqual(0.75, day.share(links, high=False), places=5)


class Verdicts(unittest.TestCase):
    def test_a_floor_above_the_upper_bound_is_out_of_reach(self):
        self.assertEqual("out of reach", bounds.verdict(0.5, 0.1, 0.4))
        self.assertEqual("depends on the draw", bounds.verdict(0.3, 0.1, 0.4))
        self.assertEqual("within reach", bounds.verdict(0.1, 0.1, 0.4))

    def test_the_binding_resource_is_named(self):
        site = copy.deepcopy(SITE)
        site["classes"][0]["resp_bytes"] = size(3_760_000.0)
        day = {"name": "day", "floor_classes": [0.5]}

        download, search = bounds.rows(bounds.Site(site), day)

        self.assertEqual("links of files", download[7])
        self.assertEqual("out of reach", download[9])
        self.assertEqual("none", search[7])


if __name__ == "__main__":
    unittest.main()
