"""The soak refuses bad input before it starts anything, and leaves no process
behind when it is interrupted. usage: soak_test.py SOAK SCENARIO"""

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest

SOAK, SCENARIO = sys.argv[1:3]
BAD_INPUT, COULD_NOT_RUN = 2, 3
LIMIT_S = 60
# A mesh of the scenario has a store, and more nodes and targets than this.
SOME_CHILDREN = 5


def children(parent):
    """Process ids of a process's children."""
    found = []
    for entry in filter(str.isdigit, os.listdir("/proc")):
        try:
            with open(f"/proc/{entry}/stat", encoding="utf-8") as stat:
                fields = stat.read().rsplit(")", 1)[1].split()
        except OSError:
            continue  # It has ended meanwhile.
        if int(fields[1]) == parent:
            found.append(int(entry))
    return found


class SoakTest(unittest.TestCase):
    def setUp(self):
        self._folder = tempfile.TemporaryDirectory()
        self.report = os.path.join(self._folder.name, "report")

    def tearDown(self):
        self._folder.cleanup()

    def refuse(self, scenario_text, expected):
        path = os.path.join(self._folder.name, "bad.ini")
        with open(path, "w", encoding="utf-8") as scenario:
            scenario.write(scenario_text)
        run = subprocess.run([SOAK, "run", "--scenario", path, "--report", self.report],
                             capture_output=True, text=True, timeout=LIMIT_S, check=False)
        self.assertEqual(run.returncode, BAD_INPUT, run.stdout + run.stderr)
        self.assertIn(expected, run.stderr)
        self.assertFalse(os.path.exists(self.report))

    def test_refuses_bad_values_before_it_starts_anything(self):
        self.refuse("[faults]\nkinds = flood\n", "bad.ini:2")
        self.refuse("[faults]\ntime_ms = -1\n", "bad.ini:2")
        self.refuse("[mesh]\nnodes = 201\n", "from 2 to 200")

    def test_refuses_a_folder_that_is_not_empty(self):
        run = subprocess.run([SOAK, "run", "--scenario", SCENARIO, "--report", "/"],
                             capture_output=True, text=True, timeout=LIMIT_S, check=False)
        self.assertEqual(run.returncode, BAD_INPUT, run.stdout + run.stderr)

    def interrupt(self, number):
        with subprocess.Popen([SOAK, "run", "--scenario", SCENARIO, "--report", self.report],
                              stdout=subprocess.PIPE, text=True) as soak:
            until = time.monotonic() + LIMIT_S
            while len(children(soak.pid)) < SOME_CHILDREN:
                self.assertLess(time.monotonic(), until, "the soak starts no processes")
                time.sleep(0.05)
            started = children(soak.pid)
            soak.send_signal(number)
            output = soak.communicate(timeout=LIMIT_S)[0]
        self.assertEqual(soak.returncode, COULD_NOT_RUN, output)
        self.assertIn("interrupted", output)
        self.assertEqual([p for p in started if os.path.exists(f"/proc/{p}")], [])

    def test_ends_its_processes_on_sigterm(self):
        self.interrupt(signal.SIGTERM)

    def test_ends_its_processes_on_sigint(self):
        self.interrupt(signal.SIGINT)


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1])
