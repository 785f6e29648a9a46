"""Starts a test cluster of entry instances and stand-ins (simulated platform,
engines and services) for the soak test, the measurements and the TLS test."""
import contextlib
import hashlib
import json
import os
import pathlib
import resource
import shutil
import signal
import subprocess
import tempfile
import threading
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("DAISYPOND_BUILD", ROOT / "build"))
FAILURE_DOMAINS = ["north", "east", "south"]


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def http_request(address, path, body=None, timeout=1.0, raw=False):
    """Sends a GET request, or a POST request with `body` as JSON.

    Returns the parsed JSON response (its text if `raw`), or None if the
    request fails, times out or the response is not JSON.
    """
    data = None if body is None else json.dumps(body).encode()
    try:
        request = urllib.request.Request(f"http://{address}{path}", data=data)
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            text = answer.read()
            return text.decode() if raw else json.loads(text or b"{}")
    except (OSError, ValueError):
        return None


class Process:
    """A child process that can be restarted with the same command line.

    `descriptors` limits its open descriptors.
    """

    def __init__(self, folder, name, command, descriptors=None):
        self.name, self.command = name, command
        self.descriptors = descriptors
        self.log_file = folder / f"{name}.log"
        self.log = open(self.log_file, "ab")
        self.child = None
        # Held while a failure is injected into the process.
        self.fault_lock = threading.Lock()
        self.start()

    def start(self):
        self.log_size = self.log_file.stat().st_size
        self.child = subprocess.Popen(
            [str(it) for it in self.command], stdout=self.log, stderr=self.log,
            preexec_fn=self.limit_descriptors if self.descriptors else None)
        self.started_at = time.monotonic()

    def limit_descriptors(self):
        resource.setrlimit(resource.RLIMIT_NOFILE,
                           (self.descriptors, self.descriptors))

    # Returns whether the process has logged anything since its last start.
    def has_written(self):
        return self.log_file.stat().st_size > self.log_size

    # Returns for how long the process has run.
    def age_s(self):
        return time.monotonic() - self.started_at

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.child.wait()

    def stop(self, timeout_s):
        """Sends SIGTERM and returns the exit status.

        Kills the process and returns None if it does not exit in time.
        """
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def status_field(self, name):
        """Returns a numeric field of /proc/PID/status, such as VmRSS in KiB.

        Returns 0 if the file has no such field.
        """
        for line in open(f"/proc/{self.child.pid}/status"):
            if line.startswith(name + ":"):
                return int(line.split()[1])
        return 0

    # Returns the user and system CPU time that the process has used.
    def cpu_seconds(self):
        fields = open(f"/proc/{self.child.pid}/stat").read().rsplit(")")[1]
        fields = fields.split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Cluster:
    """A platform, engines, services and entry instances on the loopback.

    The platform stands in for the table service, the object store and the
    instance list that a deployment relies on. `port` is the platform's
    port; the other processes listen at fixed offsets from it. `domains` is the
    number of failure domains, `entry_lines` is YAML text that is appended to
    the settings of every entry instance, `entry_descriptors` limits its open
    descriptors.
    """

    def __init__(self, port, entries=3, engines=4, services=2, token_ms=20,
                 capacity=32, domains=3, engine_flags=(), entry_lines="",
                 platform_flags=(), threads=256, entry_descriptors=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="daisypond-"))
        self.base = port
        # Numbers of entry instances, engines and services.
        self.sizes = (entries, engines, services)
        self.token_ms, self.capacity = token_ms, capacity
        self.domains = domains
        self.engine_flags, self.entry_lines = engine_flags, entry_lines
        self.platform_flags, self.threads = platform_flags, threads
        self.entry_descriptors = entry_descriptors
        self.entries, self.engines, self.services = [], [], []
        self.platform = None
        self.platform_address = self.address(0)

    def address(self, offset):
        return f"127.0.0.1:{self.base + offset}"

    def entry(self, i):
        return self.address(10 + i)

    def peer(self, i):
        return self.address(110 + i)

    def engine(self, i):
        return self.address(210 + i)

    def service(self, i):
        return self.address(270 + i)

    def domain(self, i):
        return FAILURE_DOMAINS[i % self.domains]

    def write_intents(self, resume=(10, 1), mode="cost", workspaces=None,
                      extra_files=None):
        """Writes the configuration folder and returns its path.

        `resume` holds the latency weight and the resource weight of the
        resume policy. `workspaces` maps names to additional YAML lines.
        `extra_files` maps names of further files to their text.
        """
        folder = self.folder / "intents"
        folder.mkdir(exist_ok=True)
        workspaces = workspaces or {f"w{i}": "" for i in range(3)}
        (folder / "10-work.yaml").write_text(
            "services:\n  records:\n    calls:\n"
            "      lookup: {idempotent: true, timeout_ms: 3000}\n"
            "      close-batch: {idempotent: false, timeout_ms: 2000}\n"
            "workspaces:\n" + "".join(
                f"  {name}:\n    api_key_sha256: {digest(name + '-key')}\n"
                f"{lines}"
                "    models: {default: {serve: \"m:1\"}}\n"
                for name, lines in workspaces.items()))
        targets = "targets:\n"
        for i in range(self.sizes[1]):
            targets += (f"  engine-{i}: {{address: {self.engine(i)}, "
                        f"failure_domain: {self.domain(i)}, "
                        f"models: [\"m:1\"], capacity: {self.capacity}}}\n")
        for i in range(self.sizes[2]):
            targets += (f"  service-{i}: {{address: {self.service(i)}, "
                        f"failure_domain: {self.domain(i)}, kind: service, "
                        "service: records, capacity: 256}\n")
        (folder / "20-targets.yaml").write_text(targets)
        (folder / "30-policy.yaml").write_text(
            f"resume:\n  mode: {mode}\n  latency_weight: {resume[0]}\n"
            f"  resource_weight: {resume[1]}\n")
        (folder / "40-kinds.yaml").write_text(
            "request_kinds:\n  short: {deadline_ms: 60000}\n")
        for name, text in (extra_files or {}).items():
            (folder / name).write_text(text)
        return folder

    # Starts all processes and publishes the configuration folder.
    def start(self, intents):
        folder = self.folder
        self.platform = Process(folder, "platform", [
            BUILD / "standin-platform", "--listen", self.platform_address,
            *self.platform_flags])
        for i in range(self.sizes[1]):
            self.engines.append(Process(folder, f"engine-{i}", [
                BUILD / "standin-engine", "--listen", self.engine(i),
                "--token-ms", self.token_ms, "--capacity", self.capacity,
                "--threads", self.capacity + 40, *self.engine_flags]))
        for i in range(self.sizes[2]):
            self.services.append(Process(folder, f"service-{i}", [
                BUILD / "standin-service", "--listen", self.service(i),
                "--threads", 256, "--journal", folder / f"journal-{i}"]))
        self.wait_for(self.platform_address, "/instances")
        instances = []
        for i in range(self.sizes[0]):
            instances.append({"name": f"entry-{i}",
                              "peer_address": self.peer(i),
                              "failure_domain": self.domain(i)})
            (folder / f"entry-{i}.yaml").write_text(
                f"instance: entry-{i}\nfailure_domain: {self.domain(i)}\n"
                f"listen: {self.entry(i)}\npeer_listen: {self.peer(i)}\n"
                f"platform: {self.platform_address}\nfault_endpoint: true\n"
                f"threads: {self.threads}\n{self.entry_lines}")
        http_request(self.platform_address, "/control",
                     {"instances": instances})
        for i in range(self.sizes[0]):
            self.entries.append(Process(folder, f"entry-{i}", [
                BUILD / "daisypond-entry", "--config",
                folder / f"entry-{i}.yaml"], self.entry_descriptors))
        self.apply(intents, "cluster")
        for i in range(self.sizes[0]):
            self.wait_for(self.entry(i), "/v1/wall")
        time.sleep(3)

    @staticmethod
    def wait_for(address, path):
        for _ in range(150):
            if http_request(address, path) is not None:
                return
            time.sleep(0.1)
        raise RuntimeError(f"no answer from {address}")

    # Runs daisypond-ctl with JSON output against the platform.
    def ctl(self, *flags):
        return subprocess.run(
            [str(it) for it in (BUILD / "daisypond-ctl", "--output", "json",
                                *flags, "--platform", self.platform_address)],
            capture_output=True, text=True, check=False)

    def apply(self, folder, author):
        """Publishes a configuration folder.

        Returns the new version, or None if daisypond-ctl fails.
        """
        result = self.ctl("apply", "--folder", folder, "--author", author)
        if result.returncode != 0:
            return None
        return json.loads(result.stdout.splitlines()[0])["version"]

    def load_command(self, *flags, workspaces=("w0", "w1", "w2")):
        """Returns the command line of daisypond-load.

        The tool writes its report to report.json in the cluster's folder. A
        workspace is given as NAME or as NAME:SHARE of the load.
        """
        command = [BUILD / "daisypond-load", *flags,
                   "--report", self.folder / "report.json"]
        for i in range(self.sizes[0]):
            command += ["--entry", self.entry(i)]
        for it in workspaces:
            name, _, share = it.partition(":")
            command += ["--workspace",
                        f"{name}:{name}-key" + (f":{share}" if share else "")]
        for i in range(self.sizes[2]):
            command += ["--counts", self.service(i)]
        return [str(it) for it in command]

    def start_load(self, *flags, **options):
        return subprocess.Popen(
            self.load_command(*flags, **options),
            stdout=open(self.folder / "load.out", "w"),
            stderr=open(self.folder / "load.log", "w"))

    def report(self):
        return json.loads((self.folder / "report.json").read_text())

    def counters(self):
        """Returns each counter, summed over all entry instances."""
        sums = {}
        for i in range(self.sizes[0]):
            wall = http_request(self.entry(i), "/v1/wall", timeout=3) or {}
            for name, n in wall.get("counters", {}).items():
                sums[name] = sums.get(name, 0) + n
        return sums

    def quantile(self, histogram, fraction):
        """Estimates a quantile of a latency histogram.

        The histogram is summed over all entry instances. Returns the upper
        bound of the first bucket that reaches the quantile, or 0 if no finite
        bucket does.
        """
        buckets = {}
        for i in range(self.sizes[0]):
            text = http_request(self.entry(i), "/metrics", timeout=3,
                                raw=True) or ""
            for line in text.splitlines():
                if line.startswith(f"daisypond_{histogram}_bucket"):
                    bound = line.split('le="')[1].split('"')[0]
                    buckets[bound] = (buckets.get(bound, 0) +
                                      int(line.rsplit(" ", 1)[1]))
        total = buckets.get("+Inf", 0)
        for bound, n in buckets.items():
            if bound != "+Inf" and total and n >= total * fraction:
                return float(bound)
        return 0.0

    # Kills all processes and deletes the cluster's folder.
    # If `keep_logs` is given, first copies the folder to this path.
    def tear_down(self, keep_logs=None):
        for it in (self.entries + self.engines + self.services +
                   [self.platform]):
            if it is not None:
                it.kill()
        if keep_logs:
            shutil.copytree(self.folder, keep_logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


@contextlib.contextmanager
def running_cluster(cluster, intents):
    """Starts a cluster and tears it down on exit, also after an exception."""
    try:
        cluster.start(intents)
        yield cluster
    finally:
        cluster.tear_down()
