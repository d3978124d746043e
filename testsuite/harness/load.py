"""Runs load_tool and parses its records."""

import json
import subprocess

from processes import HarnessError


class LoadResult:
    """The records of one load_tool run."""

    def __init__(self, lines):
        records = [json.loads(line) for line in lines if line.strip()]
        self.phases = [r for r in records if r["type"] == "phase"]
        self.intervals = [r for r in records if r["type"] == "interval"]

    def phase(self, stream, index):
        return next(r for r in self.phases
                    if r["stream"] == stream and r["phase"] == index)

    def total(self, field, stream=None, phases=None):
        return sum(r[field] for r in self.phases
                   if stream in (None, r["stream"])
                   and (phases is None or r["phase"] in phases))

    def ok_share(self, stream, phases=None):
        sent = self.total("sent", stream, phases)
        return self.total("ok", stream, phases) / sent if sent else 0.0

    def load_tool_lag_p99_ms(self):
        return max(r["lag_p99_ms"] for r in self.phases)


class Load:
    """A load_tool process that runs in the background."""

    def __init__(self, processes, targets, streams, phases, seed=1, outcomes=None,
                 drain_ms=5000, extra=()):
        flags = ["--json", "--seed", seed, "--drain-ms", drain_ms, *extra]
        for target in targets:
            flags += ["--target", target]
        for stream in streams:
            flags += ["--stream",
                      ",".join(f"{k}={v}" for k, v in stream.items())]
        for phase in phases:
            flags += ["--phase", phase]
        if outcomes:
            flags += ["--outcomes", outcomes]
        self.outcomes_path = outcomes
        self.child = processes.start("load_tool", *flags, stdout=subprocess.PIPE)

    def result(self):
        out, _ = self.child.communicate()
        if self.child.returncode != 0:
            raise HarnessError(f"load_tool failed, see {self.child.log_path}")
        return LoadResult(out.decode().splitlines())

    def outcomes(self):
        with open(self.outcomes_path, encoding="utf-8") as lines:
            return [json.loads(line) for line in lines]


def run_load(*arguments, **settings):
    return Load(*arguments, **settings).result()
