"""Unit tests for the ports that runs of the harness take."""

import pathlib
import subprocess
import sys
import unittest

COUNT = 30
# All processes begin at the same block of ports, which they do by chance otherwise.
PROGRAM = f"""
import random
random.SystemRandom.randrange = lambda *_: 150
from processes import free_addresses
print(*free_addresses({COUNT}), flush=True)
input()
"""


class PortsTest(unittest.TestCase):
    # Guards against a listener that cannot bind because another run has taken
    # its port between the check and the bind.
    def test_concurrent_runs_get_different_ports(self):
        runs = [
            subprocess.Popen(
                [sys.executable, "-c", PROGRAM], cwd=pathlib.Path(__file__).parent,
                stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
            for _ in range(2)
        ]
        addresses = [run.stdout.readline().split() for run in runs]
        for run in runs:
            run.communicate("\n")
        self.assertEqual([len(taken) for taken in addresses], [COUNT, COUNT])
        self.assertEqual(set(addresses[0]) & set(addresses[1]), set())


if __name__ == "__main__":
    unittest.main()
