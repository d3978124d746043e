"""The benchmark cases. Each runs one variant and emits metrics."""

import dataclasses
import tempfile
import time

from cluster import Cluster, Service
from load import Load, run_load
from processes import Processes, boottime_ns
from sheet import chain_kinds

PEAK_MULTIPLIER = 10
# A cold endpoint starts with a quarter of its slots and has all after 10 s.
WARM_UP_S = 12
CHAIN_DEPTH = 13
CHAIN_RETRIES = 3
# Above this delay the load tool itself is the bottleneck. A fifth of the
# shortest timeout of a stream.
MAX_TOOL_LAG_MS = 100


class Context:
    """Parameters and output lines of one run of a case."""

    def __init__(self, case, variant, shape, seed, seconds, bin_dir, log_dir):
        self.case = case
        self.variant = variant
        self.shape = shape
        self.seed = seed
        self.seconds = seconds
        self.bin_dir = bin_dir
        self.log_dir = log_dir
        self.lines = []

    def emit(self, metric, value, unit):
        text = f"{value:.4g}" if isinstance(value, float) else str(value)
        self.lines.append(f"{self.case} {self.variant}.{metric} {text} {unit}")

    def emit_load_tool_lag(self, result):
        lag = result.load_tool_lag_p99_ms()
        self.emit("load_tool_lag_p99", lag, "ms")
        if lag > MAX_TOOL_LAG_MS:
            self.lines.append(
                f"# {self.case} {self.variant}: invalid, the load tool was the "
                "bottleneck")

    def processes(self):
        return Processes(self.bin_dir, self.log_dir)

    def start_cluster(self, processes):
        return Cluster(processes, self.variant, [self.shape.loaded_service],
                       self.seed).start()


def streams_of(service, retry="none", **shares):
    """Load streams for `service`; `shares` are fractions of its capacity."""
    templates = {
        "submit": {"method": "POST", "timeout_ms": 2000, "key": "uuid7",
                   "body_bytes": 300},
        "status": {"timeout_ms": 500},
        "lookup": {"timeout_ms": 500},
    }
    return [{"name": name, "path": f"/{service.name}/{name}/{{n}}",
             "rate": round(share * service.capacity(), 2), "retry": retry,
             **templates[name]}
            for name, share in shares.items()]


def head_of_line_blocking(context):
    """Short calls alone, then together with long work that needs 70% of all
    slots."""
    service = context.shape.loaded_service
    half_s = context.seconds / 2
    long_rate = 0.7 * service.slots * service.endpoints * 1000 / service.long_ms
    streams = streams_of(service, status=0.3)
    streams.append({"name": "bundle", "path": f"/{service.name}/bundle/{{n}}",
                    "rate": long_rate, "timeout_ms": 20000})
    phases = [f"{WARM_UP_S}:1:bundle=0", f"{half_s}:1:bundle=0", f"{WARM_UP_S}:1",
              f"{half_s}:1"]
    with context.processes() as processes:
        cluster = context.start_cluster(processes)
        result = run_load(processes, cluster.targets(service.name), streams, phases,
                          context.seed, drain_ms=25000)
    alone = result.phase("status", 1)["all_p99_ms"]
    mixed = result.phase("status", 3)["all_p99_ms"]
    context.emit("short_p99_alone", alone, "ms")
    context.emit("short_p99_with_long", mixed, "ms")
    context.emit("short_p99_ratio", mixed / alone, "x")
    context.emit("short_ok_with_long", 100 * result.ok_share("status", [3]), "%")
    context.emit("long_ok", 100 * result.ok_share("bundle", [2, 3]), "%")
    context.emit_load_tool_lag(result)


def goodput(result, service, windows):
    """Calls that ended in time in the windows (start, length), as a fraction of
    the capacity of the slots. The first half second of each window is left
    out, because the slots are still filling."""
    ramp_up_s = 0.5
    ended = sum(r["ended_ok"] for r in result.intervals for start, length in windows
                if start + ramp_up_s <= r["start_s"] < start + length)
    return ended / (service.capacity() * sum(s[1] - ramp_up_s for s in windows))


def demand_peaks(context):
    """Demand rises to 10 times the base load and falls again. At the peak,
    submissions alone need 80% of the slots and all calls together need four
    times the slots."""
    service = context.shape.loaded_service
    base_s, peak_s = 4, 3
    cycles = max(1, round(context.seconds / (base_s + peak_s)))
    streams = streams_of(service, submit=0.08, status=0.24, lookup=0.08)
    phases = [f"{WARM_UP_S}:1"]
    phases += [f"{base_s}:1", f"{peak_s}:{PEAK_MULTIPLIER}"] * cycles
    peak_phases = list(range(2, 2 * cycles + 1, 2))
    base_phases = list(range(1, 2 * cycles, 2))
    with context.processes() as processes:
        cluster = context.start_cluster(processes)
        result = run_load(processes, cluster.targets(service.name),
                          streams, phases + [f"{base_s}:1"], context.seed)
    for name in ("submit", "status", "lookup"):
        context.emit(f"{name}_ok_at_crest",
                     100 * result.ok_share(name, peak_phases), "%")
    context.emit("goodput_of_slots", 100 * goodput(
        result, service, [(WARM_UP_S + base_s + i * (base_s + peak_s), peak_s)
                          for i in range(cycles)]), "%")
    context.emit("submit_p99_at_crest",
                 max(result.phase("submit", i)["all_p99_ms"] for i in peak_phases),
                 "ms")
    context.emit("calm_ok", 100 * result.total("ok", phases=base_phases)
                 / result.total("sent", phases=base_phases), "%")
    context.emit_load_tool_lag(result)


def recovery_seconds(result, trigger_end, end):
    """Seconds after the trigger until a window of four intervals has at least 99%
    of its calls answered in time."""
    sums_by_start = {}
    for record in result.intervals:
        sent, ok = sums_by_start.get(record["start_s"], (0, 0))
        sums_by_start[record["start_s"]] = (sent + record["sent"], ok + record["ok"])
    starts = sorted(s for s in sums_by_start if trigger_end <= s < end)
    for i, start in enumerate(starts):
        window = [sums_by_start[s] for s in starts[i:i + 4]]
        if sum(w[1] for w in window) >= 0.99 * sum(w[0] for w in window):
            return start - trigger_end
    return end - trigger_end


def recovery(context):
    """60% load, then three times as much for 3 s, then 60% again. Clients retry
    immediately, up to three tries."""
    service = context.shape.loaded_service
    before, trigger = WARM_UP_S + 4, 3
    after = context.seconds
    streams = streams_of(service, retry="hard", submit=0.2, status=0.4)
    phases = [f"{WARM_UP_S}:0.5", f"{before - WARM_UP_S}:1", f"{trigger}:3",
              f"{after}:1"]
    with context.processes() as processes:
        cluster = context.start_cluster(processes)
        result = run_load(processes, cluster.targets(service.name), streams, phases,
                          context.seed, extra=("--max-tries", 3))
    trigger_end = before + trigger
    context.emit("recovery_after_trigger",
                 float(recovery_seconds(result, trigger_end, trigger_end + after)),
                 "s")
    context.emit("ok_after_trigger", 100 * result.total("ok", phases=[3])
                 / result.total("sent", phases=[3]), "%")
    context.emit("ok_before_trigger", 100 * result.total("ok", phases=[1])
                 / result.total("sent", phases=[1]), "%")
    context.emit("tries_per_call_in_trigger", result.total("attempts", phases=[2])
                 / result.total("sent", phases=[2]), "x")
    context.emit_load_tool_lag(result)


def slow_servers(context):
    """40% load while a quarter of the endpoints is ten times slower."""
    service = context.shape.loaded_service
    half_s = context.seconds / 2
    streams = streams_of(service, status=0.4)
    phases = [f"{WARM_UP_S}:1", f"{half_s}:1"]
    results = []
    with context.processes() as processes:
        cluster = context.start_cluster(processes)
        targets = cluster.targets(service.name)
        results.append(run_load(processes, targets, streams, phases, context.seed))
        for endpoint in cluster.endpoints[::4]:
            cluster.control(endpoint, slow_factor=10)
        results.append(run_load(processes, targets, streams, phases, context.seed))
    healthy, slowed = (r.phase("status", 1)["all_p99_ms"] for r in results)
    context.emit("p99_healthy", healthy, "ms")
    context.emit("p99_slowed", slowed, "ms")
    context.emit("p99_ratio", slowed / healthy, "x")
    context.emit("ok_slowed", 100 * results[1].ok_share("status", [1]), "%")
    context.emit_load_tool_lag(results[1])


def extra_attempts(cluster):
    """Attempts beyond the first, by request, summed over all services."""
    extra = {}
    for endpoint in cluster.endpoints:
        counts = {}
        for run in cluster.runs(endpoint):
            counts[run["request"]] = counts.get(run["request"], 0) + 1
        for request, count in counts.items():
            extra[request] = extra.get(request, 0) + count - 1
    # Requests without an id are readiness checks of the harness.
    extra.pop("", None)
    return extra


def retry_storm(context):
    """A chain of 13 services. The last one first fails every call, then half of
    them."""
    services = []
    for depth in range(1, CHAIN_DEPTH + 1):
        downstream = "" if depth == CHAIN_DEPTH else f"s{depth + 1:02}:/go"
        services.append(Service(
            f"s{depth:02}", 20, 200, chain_kinds(CHAIN_RETRIES), endpoints=1,
            mean_ms=2, sigma=0.1, tail_share=0, downstream=downstream))
    stream = {"name": "go", "path": "/s01/go", "rate": 2, "timeout_ms": 2000}
    with context.processes() as processes:
        cluster = Cluster(processes, context.variant, services,
                          context.seed).start()
        before = set(extra_attempts(cluster))
        for round_number, (name, share) in enumerate(
                (("always", 1), ("half", 0.5))):
            cluster.control(cluster.endpoints_of(f"s{CHAIN_DEPTH:02}")[0],
                            fail_share=share)
            run_load(processes, cluster.targets("s01"), [stream],
                     [f"{context.seconds / 2}:1"], context.seed + round_number)
            extra = extra_attempts(cluster)
            counts = [n for r, n in extra.items() if r not in before]
            before = set(extra)
            context.emit(f"requests_seen_{name}", len(counts), "requests")
            context.emit(f"extra_attempts_max_{name}", max(counts, default=0),
                         "attempts")
            context.emit(f"extra_attempts_mean_{name}",
                         sum(counts) / max(1, len(counts)), "attempts")
    context.emit("budget_per_request", CHAIN_RETRIES, "attempts")


def added_latency(context):
    """Compares calls through an ingress node and a serving node with direct
    calls of the same backend server, both at the same time."""
    service = dataclasses.replace(
        context.shape.loaded_service, name="front", slots=64, connections=400,
        endpoints=1, mean_ms=2, sigma=0.01, tail_share=0)
    ingress = dataclasses.replace(service, name="ingress")
    stream = {"name": "status", "path": "/front/status/{n}", "rate": 200,
              "timeout_ms": 500}
    phases = [f"{WARM_UP_S}:1", f"{context.seconds}:1"]
    with context.processes() as processes:
        cluster = Cluster(processes, context.variant, [service, ingress],
                          context.seed).start()
        loads = [Load(processes, targets, [stream], phases, context.seed)
                 for targets in ([cluster.endpoints_of("front")[0].backend],
                                 cluster.targets("ingress"))]
        direct, through_nodes = (load.result().phase("status", 1) for load in loads)
    for quantile in ("p50", "p99"):
        context.emit(f"direct_{quantile}", direct[f"{quantile}_ms"], "ms")
        context.emit(f"via_{quantile}", through_nodes[f"{quantile}_ms"], "ms")
        context.emit(f"added_{quantile}",
                     through_nodes[f"{quantile}_ms"] - direct[f"{quantile}_ms"], "ms")


def store_outage(context):
    """Submissions and status calls before, during and after an outage of the
    platform."""
    service = context.shape.loaded_service
    before = 6
    streams = streams_of(service, submit=0.2, status=0.2)
    phases = [f"{WARM_UP_S}:1", f"{before}:1", f"{context.seconds}:1", "6:1"]
    with context.processes() as processes:
        cluster = context.start_cluster(processes)
        load = Load(processes, cluster.targets(service.name), streams, phases,
                    context.seed)
        time.sleep(WARM_UP_S + before)
        cluster.control_platform(down=True)
        time.sleep(context.seconds)
        cluster.control_platform(down=False)
        result = load.result()
    for index, name in enumerate(("before", "during", "after")):
        context.emit(f"submit_ok_{name}",
                     100 * result.ok_share("submit", [index + 1]), "%")
    context.emit("status_ok_during", 100 * result.ok_share("status", [2]), "%")
    context.emit_load_tool_lag(result)


def departures(context):
    """One backend server drains, another crashes and a node is killed, each a
    third of the load time after the other. The load is 15%, so that the last
    endpoint can carry it alone. Callers try up to three node addresses."""
    service = context.shape.loaded_service
    third_s = context.seconds / 3
    streams = streams_of(service, retry="hard", status=0.15)
    events = {}
    with context.processes() as processes, \
            tempfile.NamedTemporaryFile(suffix=".jsonl") as outcomes:
        cluster = context.start_cluster(processes)
        drained, crashed, killed = cluster.endpoints[:3]
        load = Load(processes, cluster.targets(service.name), streams,
                    [f"{WARM_UP_S + 3 * third_s}:1"], context.seed,
                    outcomes=outcomes.name, extra=("--max-tries", 3))
        started = time.monotonic()
        time.sleep(WARM_UP_S)
        drained_ns = boottime_ns()
        cluster.control(drained, drain=True)
        events["drain"] = time.monotonic() - started
        time.sleep(third_s)
        events["crash"] = time.monotonic() - started
        cluster.control(crashed, crash=True)
        time.sleep(third_s)
        events["node_kill"] = time.monotonic() - started
        cluster.kill(killed.node)
        load.result()
        emit_drain(context, cluster.runs(drained), drained_ns)
        emit_failures(context, load.outcomes(), events)


def emit_drain(context, runs, drained_ns):
    late_starts_s = [(r["start_ns"] - drained_ns) / 1e9 for r in runs
                     if r["start_ns"] > drained_ns]
    context.emit("last_new_work_after_drain", max(late_starts_s, default=0.0), "s")
    context.emit("new_work_3s_after_drain",
                 sum(1 for t in late_starts_s if t > 3), "calls")


def emit_failures(context, outcomes, events):
    ends = sorted(events.values())[1:] + [float("inf")]
    for (name, start), end in zip(sorted(events.items(), key=lambda e: e[1]), ends):
        calls = [o for o in outcomes if start <= o["intended_s"] < end]
        failed = [o["intended_s"] - start for o in calls if o["verdict"] != "ok"]
        context.emit(f"failed_calls_after_{name}", len(failed),
                     f"of_{len(calls)}_calls")
        context.emit(f"last_failed_call_after_{name}", max(failed, default=0.0),
                     "s")


CASES = {
    "hol": (head_of_line_blocking, 20),
    "crest": (demand_peaks, 21),
    "recovery": (recovery, 10),
    "slow-servers": (slow_servers, 20),
    "retry-storm": (retry_storm, 8),
    "added-latency": (added_latency, 15),
    "store-outage": (store_outage, 20),
    "departure": (departures, 24),
}
