"""Runs a small deployment on loopback addresses: the store's stand-in in this
process, each minion's stand-in and each kcr_node in a process of its own."""

import asyncio
import concurrent.futures
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import store as store_module
import web

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HOST = "jobs.example"
KEY = "key-of-account-one"
SERVICE = "foglalo"


# Ports below those that the system gives to connections, which might take one
# before the process that is to listen there; other ones for each script.
PORTS = iter(range(10000 + os.getpid() % 100 * 220,
                   10000 + os.getpid() % 100 * 220 + 220))


def free_port():
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass
    raise CannotRun("no free port")


class CannotRun(Exception):
    """The case could not be run; it says nothing about the rule."""


class Lab:
    def __init__(self, folder):
        self.folder = folder
        self.began = time.time()
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.temporary = tempfile.mkdtemp(prefix="kcr-review-")
        self.store = store_module.Store()
        self.nodes = {}  # name -> [process, settings path, caller address]
        self.minions = {}  # id -> [process, arguments]
        self.processes = []
        self.events = []  # what the minions printed
        self.starts = 0
        self.quiet = False  # The record leaves out what the minions print.
        self.readers = []
        # One thread for each minion; the default may have fewer.
        self.reader_threads = concurrent.futures.ThreadPoolExecutor(64)

    def record(self, text):
        self.record_file.write(f"{time.time() - self.began:8.3f} s  {text}\n")
        self.record_file.flush()

    async def start_store(self):
        await self.store.start()
        self.record(f"store at {self.store.address}")

    def configure(self, version, routes, guaranteed_gpus=8, keys=(KEY,)):
        """Writes the operators' configuration. A route is a dictionary with a
        name, a prefix and whatever differs from the defaults."""
        whole = []
        for route in routes:
            entry = {"host": HOST, "kind": "non_idempotent", "timeoutMs": 3000,
                     "targetDurationMs": 1000, "priority": 1,
                     "backend": SERVICE, "maxAttempts": 3, "stretch": 3.0,
                     "public": False}
            entry.update(route)
            whole.append(entry)
        configuration = {
            "version": version, "routes": whole,
            "backends": [{"name": SERVICE, "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "rejectsOverload": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "one", "apiKeys": list(keys), "priority": 1,
                         "guaranteed": {"gpu": guaranteed_gpus}}]}
        self.store.put("op/config", json.dumps(configuration).encode())
        self.record(f"operator: configuration {version}")

    def start_node(self, name):
        """Starts kcr_node with the command of the deploy file and settings as
        its template makes them."""
        if name not in self.nodes:
            ports = [free_port() for _ in range(3)]
            settings = {
                "name": name, "availability_zone": "z1",
                "caller_address": f"127.0.0.1:{ports[0]}",
                "readiness_address": f"127.0.0.1:{ports[1]}",
                "metrics_address": f"127.0.0.1:{ports[2]}",
                "store_address": self.store.address, "processor_share": 0.25,
                "memory_mb": 260, "max_descriptors": 4100,
                "worker_lease_ms": 6000, "worker_stop_ms": 400,
                "reclaim_ms": 2900, "distance_factor": 3, "restore_ms": 100,
                "status_s": 120, "shutdown_grace_s": 6}
            path = os.path.join(self.temporary, name + ".json")
            with open(path, "w") as file:
                json.dump(settings, file)
            self.nodes[name] = [None, path, settings["caller_address"]]
        log = open(os.path.join(self.temporary, name + ".log"), "a")
        process = subprocess.Popen(
            [os.path.join(ROOT, "target", "bin", "kcr_node")], cwd=ROOT,
            env={"KINGCUPRUDDER_BOOT": self.nodes[name][1],
                 "PATH": os.environ.get("PATH", "")},
            stdout=log, stderr=log, start_new_session=True)
        log.close()
        self.nodes[name][0] = process
        self.processes.append(process)
        self.record(f"{name} starts, process {process.pid}")

    def caller_address(self, name):
        return self.nodes[name][2]

    def node_log(self, name):
        with open(os.path.join(self.temporary, name + ".log")) as file:
            return file.read().splitlines()

    def decisions(self, *names):
        """Returns the log lines of all nodes with one of these events."""
        found = []
        for node in self.nodes:
            for line in self.node_log(node):
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                if entry.get("event") in names:
                    found.append(entry)
        return sorted(found, key=lambda entry: entry["time_ms"])

    def start_minion(self, name, rack="r1", capacity="64000,262144,8",
                     port=None):
        """Starts a minion; at the port that it had, if it was started before."""
        if name not in self.minions:
            port = port or free_port()
            self.minions[name] = [None, [
                "--id", name, "--host", "127.0.0.1", "--port", str(port),
                "--store", self.store.address, "--zone", "z1", "--labels",
                "a," + rack, "--capacity", capacity, "--backend", SERVICE]]
        process = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "minion.py")]
            + self.minions[name][1],
            stdout=subprocess.PIPE, start_new_session=True)
        self.minions[name][0] = process
        self.processes.append(process)
        self.readers.append(asyncio.ensure_future(self.read_events(process)))
        self.record(f"minion {name} starts, process {process.pid}")

    async def read_events(self, process):
        loop = asyncio.get_running_loop()
        while True:
            line = await loop.run_in_executor(self.reader_threads,
                                              process.stdout.readline)
            if not line:
                return
            event = json.loads(line)
            if event["event"] == "counted":
                self.starts += event["starts"]
                continue
            self.events.append(event)
            self.starts += event["event"] == "start"
            if self.quiet:
                continue
            fields = " ".join(f"{k}={v}" for k, v in event.items()
                              if k not in ("at_ms", "minion", "event"))
            self.record(f"minion {event['minion']}: {event['event']} {fields}")

    def kill(self, process, number=signal.SIGKILL):
        self.record(f"signal {signal.Signals(number).name} to {process.pid}")
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def kill_minion(self, name):
        self.kill(self.minions[name][0])

    async def until(self, condition, timeout, what):
        """Waits until the condition holds. Raises CannotRun after the time."""
        if not await self.holds_within(condition, timeout):
            raise CannotRun(what)

    async def holds_within(self, condition, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(0.05)
        return False

    async def ready(self, name):
        with open(self.nodes[name][1]) as file:
            address = json.load(file)["readiness_address"]
        status, _ = await web.call(address, "GET", "/kingcuprudder/ready")
        return status == 200

    async def request(self, node, method, path, body=None, timeout=3.0,
                      key=KEY):
        status, answer = await web.call(
            self.caller_address(node), method, path, body,
            {"Host": HOST, "Authorization": "Bearer " + key,
             "X-Deadline-Ms": str(int(timeout * 1000))}, timeout)
        self.record(f"client: {method} {path} at {node} -> {status} {answer}")
        return status, answer

    async def submit(self, nodes, path, job):
        """Submits as the clients do: again, elsewhere, until it is accepted."""
        for attempt in range(20):
            status, _ = await self.request(nodes[attempt % len(nodes)], "POST",
                                           path, job)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.3)
        raise CannotRun(f"{path} was not accepted")

    def runs(self, task):
        """Returns the events of the runs of a task, in order."""
        return [e for e in self.events if e.get("task") == task]

    def is_running(self, task):
        """Returns the minion where the task's newest run is, or None."""
        runs = self.runs(task)
        if not runs or runs[-1]["event"] != "start":
            return None
        return runs[-1]["minion"]

    async def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        await asyncio.gather(*self.readers, return_exceptions=True)
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.temporary, kept, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record_file.close()


def run_case(folder, case, trouble, limit_s=115):
    """Runs case(lab), which returns whether the rule held, and exits with 0 if
    it did, with 1 if not, and with 2 if the case could not run."""
    async def run():
        if not os.path.exists(os.path.join(ROOT, "target", "bin", "kcr_node")):
            print("cannot run: target/bin/kcr_node is not built")
            return 2
        lab = Lab(folder)
        lab.record("with the disruption" if trouble
                   else "without the disruption")
        try:
            held = await asyncio.wait_for(case(lab), limit_s)
            text = "the rule held" if held else "the rule was broken"
            code = 0 if held else 1
        except (CannotRun, asyncio.TimeoutError) as error:
            text, code = f"cannot run: {error!r}", 2
        lab.record(text)
        await lab.close()
        print(text)
        return code
    sys.exit(asyncio.run(run()))
