#!/usr/bin/env python3
"""Runs the performance measurements whose figures docs/ cites.

measure.py [NAME...] runs the named measurements, or all of them. Each one
writes docs/measurements/NAME.csv; those that fit a line also write a plot,
NAME.svg. A measurement is a single run on this machine, which should run no
other load at the same time.
"""
import csv
import os
import random
import signal
import subprocess
import sys
import threading
import time

from cluster import ROOT, BUILD, Cluster, digest, http_request, running_cluster

OUT = ROOT / "docs" / "measurements"
PORT = int(os.environ.get("DAISYPOND_PORT", "27000"))
MEASUREMENTS = {}


# Decorator that registers a function as a measurement by its name.
def measurement(function):
    MEASUREMENTS[function.__name__] = function
    return function


def save(name, rows, x=None, y=None):
    """Writes rows (dicts) as CSV and prints them.

    If the columns x and y are given, also fits a line and plots y over x.
    """
    OUT.mkdir(parents=True, exist_ok=True)
    with open(OUT / f"{name}.csv", "w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    print(f"== {name}")
    print("  ".join(rows[0]))
    for row in rows:
        print("  ".join(str(it) for it in row.values()), flush=True)
    if x is None:
        return
    points = [(float(row[x]), float(row[y])) for row in rows]
    slope, intercept = fit_line(points)
    print(f"slope: {y} = {intercept:.4g} + {slope:.4g} * {x}", flush=True)
    (OUT / f"{name}.svg").write_text(plot(points, slope, intercept, x, y))


def fit_line(points):
    """Returns slope and intercept of a least-squares fit."""
    n = len(points)
    mean_x = sum(p[0] for p in points) / n
    mean_y = sum(p[1] for p in points) / n
    spread = sum((p[0] - mean_x) ** 2 for p in points) or 1
    slope = sum((p[0] - mean_x) * (p[1] - mean_y) for p in points) / spread
    return slope, mean_y - slope * mean_x


# Returns an SVG plot of the points and the fitted line.
def plot(points, slope, intercept, x, y):
    width, height, left, top = 560, 320, 80, 30
    high_x = max(p[0] for p in points) or 1
    high_y = max([p[1] for p in points] +
                 [intercept + slope * high_x]) * 1.1 or 1
    to_pixels = lambda p: (left + p[0] / high_x * (width - left - 30),
                           height - 50 - p[1] / high_y * (height - 50 - top))
    line_ends = [to_pixels((0, max(intercept, 0))),
                 to_pixels((high_x, intercept + slope * high_x))]
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
             f'height="{height}" font-family="sans-serif" font-size="13">',
             f'<rect width="{width}" height="{height}" fill="white"/>',
             '<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" '
             'stroke="#888"/>' % (*line_ends[0], *line_ends[1])]
    for p in points:
        cx, cy = to_pixels(p)
        parts.append(f'<circle cx="{cx:.1f}" cy="{cy:.1f}" r="4" '
                     'fill="#1560bd"/>'
                     f'<text x="{cx:.1f}" y="{cy - 8:.1f}" '
                     f'text-anchor="middle">{p[1]:.4g}</text>'
                     f'<text x="{cx:.1f}" y="{height - 32}" '
                     f'text-anchor="middle">{p[0]:.4g}</text>')
    parts.append(f'<text x="{width / 2}" y="{height - 10}" '
                 f'text-anchor="middle">{x}</text>'
                 f'<text x="12" y="18">{y}</text></svg>')
    return "\n".join(parts) + "\n"


# Returns the CPU time that all entry instances have used so far.
def entry_cpu_seconds(cluster):
    return sum(it.cpu_seconds() for it in cluster.entries)


def inject_engine_failures(cluster, seconds, seed, kill_every, freeze_every,
                           stall_every=0):
    """Kills, freezes (4 s) and stalls (under 1 s) engines for `seconds`.

    The intervals between failures of each kind are in seconds. The seed
    selects the engines and the lengths of the stalls.
    """
    rng = random.Random(seed)
    end = time.time() + seconds
    stalls = event_times(stall_every, seconds) if stall_every else []
    events = sorted(
        [(t, "stall") for t in stalls] +
        [(t, "kill") for t in event_times(kill_every, seconds)] +
        [(t + kill_every / 2, "freeze")
         for t in event_times(freeze_every, seconds)])
    begin = time.time()
    for offset, kind in events:
        time.sleep(max(0, begin + offset - time.time()))
        i = rng.randrange(len(cluster.engines))
        if kind == "stall":
            threading.Thread(target=http_request, args=(
                cluster.engine(i), "/control",
                {"freeze_ms": rng.choice([250, 400, 600, 900])})).start()
            continue
        engine = cluster.engines[i]
        if kind == "kill":
            engine.kill()
            threading.Timer(1.0, engine.start).start()
        else:
            engine.signal(signal.SIGSTOP)
            threading.Timer(4.0, engine.signal, (signal.SIGCONT,)).start()
    time.sleep(max(0, end - time.time()))


# Returns the multiples of `interval` (1 * interval, 2 * interval, ...) that fit
# into `duration`, without the last one.
def event_times(interval, duration):
    return [interval * i for i in range(1, int(duration / interval))]


@measurement
def resume_policies():
    """Compares resume latency and repeated work of the resume policies.

    All policies get the same load and the same schedule of failures.
    """
    rows = []
    for name, mode, weights in (("siam_cost", "cost", (10, 1)),
                                ("basahan_cost", "cost", (1, 10)),
                                ("fixed_5s", "fixed_timeout", (1, 1)),
                                ("restart", "restart", (1, 1))):
        cluster = Cluster(PORT, entries=3, engines=6, token_ms=20)
        with running_cluster(cluster, cluster.write_intents(weights, mode)):
            load = cluster.start_load("--seed", 1, "--seconds", 30, "--rate",
                                      8, "--tokens", 250, "--patience-ms",
                                      120000)
            inject_engine_failures(cluster, 30, 1, 4, 9, 1.2)
            load.wait(200)
            report, sums = cluster.report(), cluster.counters()
            tokens = report["counts"]["tokens"]
            extra_tokens = (sums["prefill_tokens_repeated_total"] +
                            max(0, sums["tokens_relayed_total"] -
                                8 * 30 * 250))
            rows.append({
                "policy": name,
                "whole": report["counts"]["generations_whole"],
                "resumes": sums["resumes_total"] +
                report["counts"]["restarts"],
                "resume_p50_ms": cluster.quantile("resume_ms", 0.5),
                "resume_p99_ms": cluster.quantile("resume_ms", 0.99),
                "longest_gap_p95_ms": report["spans"]["longest_gap_ms"]["p95"],
                "longest_gap_p99_ms": report["spans"]["longest_gap_ms"]["p99"],
                "extra_tokens_per_1000": round(
                    1000 * extra_tokens / tokens, 1),
                "wrong": sum(report["counts"][it] for it in (
                    "missing", "repeated", "mixed", "crossed"))})
    save("resume_policies", rows)


@measurement
def claims():
    """Measures how many claims per second fit into the store's limit of 300
    writes per second, with and without grouping several claims in a
    transaction."""
    rows = []
    for grouped in (True, False):
        for rate in (50, 150, 300, 600):
            cluster = Cluster(
                27000, entries=3, engines=1, services=3,
                entry_lines=f"claim_rows: {25 if grouped else 1}\n")
            workspace_settings = {"w0": "    requests_per_second: 5000\n"
                                        "    concurrent_requests: 2000\n"}
            with running_cluster(cluster, cluster.write_intents(
                    workspaces=workspace_settings)):
                cpu_before = entry_cpu_seconds(cluster)
                load = cluster.start_load(
                    "--seed", 1, "--seconds", 8, "--postings", rate,
                    workspaces=("w0",))
                load_status = load.wait(120)
                report, sums = cluster.report(), cluster.counters()
                counts = report["counts"]
                rows.append({
                    "grouped": grouped, "postings_per_second": rate,
                    "ran": counts["postings_ran"],
                    "not_run": counts["postings_not_run"],
                    "may_have_run": counts["postings_may_have_run"],
                    "transactions": sums["claim_transactions_total"],
                    "posting_p50_ms": report["spans"]["posting_ms"]["p50"],
                    "posting_p99_ms": report["spans"]["posting_ms"]["p99"],
                    "cpu_ms_per_posting": round(
                        1000 * (entry_cpu_seconds(cluster) - cpu_before) /
                        max(1, counts["postings"]), 2),
                    "broken": load_status})
    save("claims", rows)
    grouped = [it for it in rows if it["grouped"]]
    save("claims_grouped", grouped, "postings_per_second", "transactions")


@measurement
def overload():
    """Measures goodput, latency of a small workspace and retries at 0.5, 1 and
    2 times the capacity, while an engine is killed every 5 s."""
    rows = []
    workspace_settings = {"large": "    concurrent_requests: 2000\n",
                          "small": "    concurrent_requests: 200\n"}
    for factor in (0.5, 1, 2):
        cluster = Cluster(PORT, entries=3, engines=4, token_ms=20,
                          capacity=16)
        extra_files = {"50-kinds.yaml":
                       "request_kinds:\n  load: {queue_timeout_ms: 3000}\n"}
        with running_cluster(cluster, cluster.write_intents(
                workspaces=workspace_settings, extra_files=extra_files)):
            # Capacity: 64 concurrent generations of 2 s each, which is 32
            # generations per second.
            rate = 32 * factor
            load = cluster.start_load(
                "--seed", 1, "--seconds", 25, "--rate", rate, "--tokens", 100,
                "--kind", "load", "--tries", 1, "--patience-ms", 30000,
                workspaces=("large:19", "small:1"))
            inject_engine_failures(cluster, 25, 2, 5, 100)
            load.wait(120)
            report, sums = cluster.report(), cluster.counters()
            counts = report["counts"]
            text = (cluster.folder / "load.out").read_text()
            small_workspace_lines = [it for it in text.splitlines()
                                     if "workspace=small" in it]
            attempts = sums["upstream_attempts_total"]
            first_attempts = attempts - sums["resumes_total"]
            rows.append({
                "factor": factor, "started": counts["generations_started"],
                "whole": counts["generations_whole"],
                "tokens_per_second": round(counts["tokens"] /
                                           report["seconds"]),
                "refused": counts["generations_refused"],
                "refusal_p99_ms": report["spans"]["refusal_ms"]["p99"],
                "first_token_p95_ms":
                    report["spans"]["first_token_ms"]["p95"],
                "small_first_token":
                    small_workspace_lines[0].split("p50")[1]
                    if small_workspace_lines else "",
                "attempts": attempts,
                "extra_attempts_percent": round(
                    100 * (attempts - first_attempts) /
                    max(1, first_attempts), 1)})
    save("overload", rows)


@measurement
def configuration():
    """Measures the time from publishing a change until 8 instances apply it."""
    cluster = Cluster(PORT, entries=8, engines=2)
    observations = []
    with running_cluster(cluster, cluster.write_intents()) as it:
        # Instance 7 cannot reach the platform and gets changes only from its
        # peers.
        http_request(it.entry(7), "/v1/faults",
                     {"address": it.platform_address, "state": "refused"})
        folder = it.folder / "intents"
        for i in range(60):
            (folder / "40-kinds.yaml").write_text(
                f"request_kinds:\n  short: {{deadline_ms: {60000 + i}}}\n")
            version = it.apply(folder, "measure")
            published_at = time.time()
            waiting = set(range(8))
            delays_ms = {}
            while waiting and time.time() < published_at + 15:
                for k in list(waiting):
                    wall = http_request(it.entry(k), "/v1/wall") or {}
                    if wall.get("configuration_version", 0) >= version:
                        waiting.discard(k)
                        delays_ms[k] = (time.time() - published_at) * 1000
                time.sleep(0.02)
            for k in range(8):
                observations.append((k == 7, delays_ms.get(k, 15000)))
            time.sleep(0.1)
    rows = []
    for is_cut in (False, True):
        selected = sorted(delay for cut, delay in observations if cut == is_cut)
        rows.append({"cut_from_platform": is_cut, "observations": len(selected),
                     "p50_ms": round(selected[len(selected) // 2]),
                     "p99_ms": round(selected[int(len(selected) * 0.99) - 1]),
                     "longest_ms": round(selected[-1])})
    save("configuration", rows)


@measurement
def membership():
    """Measures peer traffic and CPU time per instance while there are no
    requests, by the number of instances."""
    rows = []
    for n in (8, 32, 64):
        cluster = Cluster(PORT, entries=n, engines=24, threads=16)
        with running_cluster(cluster, cluster.write_intents()) as it:
            # Wait until the instances no longer exchange state changes from
            # the start of the cluster.
            time.sleep(45)

            def get_walls():
                walls = [http_request(it.entry(i), "/v1/wall", timeout=3)
                         for i in range(n)]
                return [w for w in walls if w]
            before, cpu, begin = get_walls(), entry_cpu_seconds(it), time.time()
            time.sleep(20)
            after, seconds = get_walls(), time.time() - begin
            cpu = entry_cpu_seconds(it) - cpu
            sum_counter = lambda walls, key: sum(
                w["counters"][key] for w in walls)
            control_cpu_ms = (sum(w["control_cpu_ms"] for w in after) -
                              sum(w["control_cpu_ms"] for w in before))
            min_alive = min(
                sum(d["alive"] for d in w["domains"]) for w in after)
            rows.append({
                "instances": n, "seen_alive_least": min_alive,
                "peer_bytes_per_second": round(
                    (sum_counter(after, "peer_bytes_total") -
                     sum_counter(before, "peer_bytes_total")) / n / seconds),
                "peer_messages_per_second": round(
                    (sum_counter(after, "peer_messages_total") -
                     sum_counter(before, "peer_messages_total")) /
                    n / seconds, 2),
                "control_thread_percent": round(
                    control_cpu_ms / 10 / n / seconds, 3),
                "process_cpu_percent": round(100 * cpu / n / seconds, 2),
                "rss_mib": round(sum(e.status_field("VmRSS")
                                     for e in it.entries) / n / 1024, 1)})
    save("membership", rows, "instances", "peer_bytes_per_second")


@measurement
def routing():
    """Compares prefix cache hits and time to first token of prefix-affinity
    routing with two baselines: least-loaded and random routing."""
    rows = []
    for mode in ("prefix_affinity", "least_loaded", "random"):
        cluster = Cluster(PORT, entries=3, engines=8, token_ms=10, domains=1,
                          entry_lines=f"routing: {mode}\n",
                          engine_flags=("--cached-prefixes", 8,
                                        "--prefill-ms", 1500))
        with running_cluster(cluster, cluster.write_intents()) as it:
            load = it.start_load("--seed", 1, "--seconds", 20, "--rate", 25,
                                 "--tokens", 60, "--prefixes", 50,
                                 "--prompt-bytes", 600)
            load.wait(120)
            report = it.report()
            loads = [http_request(it.engine(i), "/load") for i in range(8)]
            hits = sum(x["prefix_hits"] for x in loads)
            misses = sum(x["prefix_misses"] for x in loads)
            rows.append({
                "routing": mode, "hits_percent": round(
                    100 * hits / max(1, hits + misses), 1),
                "first_token_p50_ms":
                    report["spans"]["first_token_ms"]["p50"],
                "first_token_p95_ms":
                    report["spans"]["first_token_ms"]["p95"],
                "whole": report["counts"]["generations_whole"]})
    save("routing", rows)


@measurement
def streams():
    """Measures memory and CPU time of one instance by number of streams."""
    rows = []
    for n in (50, 150, 300):
        cluster = Cluster(PORT, entries=2, engines=4, capacity=200,
                          token_ms=68, threads=700)
        workspace_settings = {"w0": "    concurrent_requests: 5000\n"}
        extra_files = {"60-limits.yaml": "limits: {concurrent_streams: 2000}\n"}
        with running_cluster(cluster, cluster.write_intents(
                workspaces=workspace_settings,
                extra_files=extra_files)) as it:
            idle_rss_kib = it.entries[0].status_field("VmRSS")
            command = it.load_command(
                "--seed", 1, "--rate", n, "--generations", n, "--tokens", 300,
                workspaces=("w0",))
            # Removes the second --entry flag, so that all streams go to
            # instance 0 and instance 1 only stores copies of their state.
            at = command.index("--entry", command.index("--entry") + 1)
            del command[at:at + 2]
            load = subprocess.Popen(command, stdout=subprocess.DEVNULL)
            time.sleep(5)
            cpu = [e.cpu_seconds() for e in it.entries]
            tokens = it.counters()["tokens_relayed_total"]
            time.sleep(12)
            cpu = [e.cpu_seconds() - c for e, c in zip(it.entries, cpu)]
            tokens = it.counters()["tokens_relayed_total"] - tokens
            rows.append({
                "streams": n, "tokens_per_second": round(tokens / 12),
                "holder_rss_mib": round(
                    it.entries[0].status_field("VmRSS") / 1024, 1),
                "holder_idle_rss_mib": round(idle_rss_kib / 1024, 1),
                "copy_rss_mib": round(
                    it.entries[1].status_field("VmRSS") / 1024, 1),
                "holder_cpu_us_per_token": round(1e6 * cpu[0] / tokens, 1),
                "copy_cpu_us_per_token": round(1e6 * cpu[1] / tokens, 1),
                "holder_cpu_percent": round(100 * cpu[0] / 12, 1),
                "inter_token_p95_ms": round(
                    it.quantile("inter_token_ms", 0.95), 1)})
            load.kill()
            load.wait()
    save("streams", rows, "streams", "holder_rss_mib")
    save("tokens", rows, "tokens_per_second", "holder_cpu_percent")


# Returns a configuration file that defines n workspaces.
def workspaces_yaml(n):
    lines = ["workspaces:"]
    for i in range(n):
        lines += [f"  many-{i:05d}:",
                  f"    api_key_sha256: {digest(f'many-{i}')}",
                  "    models: {default: {serve: \"m:1\"}}"]
    return "\n".join(lines) + "\n"


def measure_change_cost(extra_files, cluster):
    """Measures the cost of configuration changes per entry instance.

    Returns the CPU time per change in ms, the resident memory in MiB and the
    CPU usage without changes in percent.
    """
    with running_cluster(cluster, cluster.write_intents(
            extra_files=extra_files)) as it:
        time.sleep(2)
        cpu, begin = entry_cpu_seconds(it), time.time()
        for i in range(5):
            (it.folder / "intents" / "40-kinds.yaml").write_text(
                f"request_kinds:\n  short: {{deadline_ms: {61000 + i}}}\n")
            it.apply(it.folder / "intents", "measure")
            time.sleep(3)
        cpu, seconds = entry_cpu_seconds(it) - cpu, time.time() - begin
        idle_cpu = entry_cpu_seconds(it)
        time.sleep(10)
        idle_cpu = (entry_cpu_seconds(it) - idle_cpu) / 10
        return (1000 * (cpu - idle_cpu * seconds) / 5 / len(it.entries),
                it.entries[0].status_field("VmRSS") / 1024,
                100 * idle_cpu / len(it.entries))


@measurement
def workspaces():
    """Measures the cost of a configuration change by number of workspaces."""
    rows = []
    for n in (100, 1000, 10000):
        cost, rss, idle = measure_change_cost(
            {"35-many.yaml": workspaces_yaml(n)},
            Cluster(PORT, entries=2, engines=2))
        rows.append({"workspaces": n, "change_cpu_ms": round(cost, 1),
                     "rss_mib": round(rss, 1), "idle_percent": round(idle, 2)})
    save("workspaces", rows, "workspaces", "change_cpu_ms")
    save("workspaces_memory", rows, "workspaces", "rss_mib")


@measurement
def targets():
    """Measures idle CPU usage by number of targets.

    Nothing listens on the addresses of these targets.
    """
    rows = []
    for n in (20, 200, 820):
        lines = ["targets:"]
        for i in range(n):
            lines.append(f"  t{i:03d}: {{address: 127.0.1.{i // 200 + 1}:"
                         f"{20000 + i}, failure_domain: {'nes'[i % 3]}, "
                         "models: [\"m:1\"]}")
        cost, rss, idle = measure_change_cost(
            {"45-many.yaml": "\n".join(lines) + "\n"},
            Cluster(PORT, entries=2, engines=2))
        rows.append({"targets": n, "change_cpu_ms": round(cost, 1),
                     "rss_mib": round(rss, 1), "idle_percent": round(idle, 2)})
    save("targets", rows, "targets", "idle_percent")


def main():
    names = sys.argv[1:] or list(MEASUREMENTS)
    unknown = [it for it in names if it not in MEASUREMENTS]
    if unknown or not (BUILD / "daisypond-entry").exists():
        print(f"unknown measurements: {unknown}; known: {list(MEASUREMENTS)}; "
              "build with meta/test.sh if daisypond-entry is missing",
              file=sys.stderr)
        return 2
    for name in names:
        MEASUREMENTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
