"""Starts a small deployment on loopback addresses for a case of this review.

It consists of kcr_node processes, started with the command of the deploy file
and settings like those that the template gives, the stand-in of the store in
this process, and a process for each minion.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from store import Store, serve

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
RUN = ["target/bin/kcr_node"]  # "run" of deploy/system.toml
KEY = "key-of-the-tenant"
HOST = "queue.example"

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def free_address():
    """Returns an address whose port is free, below the ports that systems use
    for outgoing connections, so that it is still free after a restart."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return "127.0.0.1:%d" % port


class Lab:
    def __init__(self, folder):
        self.record_path = os.path.join(folder, "record.txt")
        open(self.record_path, "w").close()
        self.record_file = open(self.record_path, "ab", buffering=0)
        self.temporary = tempfile.mkdtemp(prefix="kcr-review-")
        self.store = Store()
        self.store_address = serve(self.store)
        self.processes = []
        self.nodes = []
        self.minions = {}  # id: (process, address, rack)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))

    # Processes

    def start_node(self, index):
        name = "front-%d" % index
        caller, ready, metrics = (free_address() for _ in range(3))
        settings = {
            "name": name, "availability_zone": "zone",
            "caller_address": caller, "readiness_address": ready,
            "metrics_address": metrics, "store_address": self.store_address,
            "processor_share": 0.25, "memory_mb": 260,
            "max_descriptors": 4100, "worker_lease_ms": 6000,
            "worker_stop_ms": 400, "reclaim_ms": 2900, "distance_factor": 3,
            "restore_ms": 100, "status_s": 120, "shutdown_grace_s": 6}
        path = os.path.join(self.temporary, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.temporary, name + ".log"), "ab")
        process = subprocess.Popen(
            RUN, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""),
                 "KINGCUPRUDDER_BOOT": path})
        self.processes.append(process)
        self.nodes[index:index + 1] = [(process, caller, ready, name)]

    def start_minion(self, name, rack, address=None, listen=None):
        """Starts a minion; `listen` is where it listens if `address` is that of
        a proxy in front of it."""
        address = address or free_address()
        process = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "minion.py"), name, address,
             self.store_address, self.record_path, rack, listen or address],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.processes.append(process)
        self.minions[name] = (process, address, rack)

    def crash_minion(self, name):
        """Ends the process of a minion at once; its runs end with it."""
        self.record("kill minion", minion=name)
        process = self.minions[name][0]
        process.kill()
        process.wait()

    def configure(self, routes, backends=("pool",)):
        self.store.put("op/config", {
            "version": 7, "routes": routes,
            "backends": [{"name": b, "healthPath": "/health", "maxConns": 64,
                          "protocol": "h1", "tls": False,
                          "rejectsOverload": False, "standby": False}
                         for b in backends],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
            "tenants": [{"name": "tenant", "apiKeys": [KEY],
                         "guaranteed": {"gpu": 8}}]})

    def start(self, nodes, minions, routes):
        """Starts all and waits until it is up. `minions`: {id: rack}."""
        self.configure(routes)
        for name, rack in minions.items():
            self.start_minion(name, rack)
        for index in range(nodes):
            self.start_node(index)
        end = time.monotonic() + 25
        while time.monotonic() < end:
            time.sleep(0.2)
            for index in range(nodes):
                if self.nodes[index][0].poll() is not None:
                    self.start_node(index)  # another took its port meanwhile
            for name, (process, _, rack) in list(self.minions.items()):
                if process.poll() is not None and name in minions:
                    self.start_minion(name, rack)
            listed = sum(1 for k in self.store.items
                         if k.startswith("servers/"))
            if (listed == len(self.minions) and "kcr/leader" in self.store.items
                    and all(self.is_ready(i) for i in range(nodes))):
                self.record("up", nodes=nodes, minions=len(self.minions))
                return
        raise RuntimeError("the deployment did not start")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.store.stopping = True
        if os.environ.get("KEEP"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    # Clients

    def call(self, method, path, body=None, node=None, deadline_ms=3000):
        """Calls a node as a client; returns (status or None, body)."""
        alive = [n for n in self.nodes if n[0].poll() is None]
        chosen = self.nodes[node] if node is not None else random.choice(alive)
        try:
            connection = http.client.HTTPConnection(
                *chosen[1].split(":"), timeout=deadline_ms / 1000)
            connection.request(
                method, path, None if body is None else json.dumps(body),
                {"Host": HOST, "Content-Type": "application/json",
                 "Authorization": "Bearer " + KEY,
                 "X-Deadline-Ms": str(deadline_ms)})
            response = connection.getresponse()
            text = response.read()
            connection.close()
            result = response.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError):
            result = None, {}
        self.record("call", method=method, path=path, node=chosen[3],
                    status=result[0], answer=result[1])
        return result

    def submit(self, path, job):
        """Hands a job in, again after no answer or a refusal."""
        for _ in range(8):
            status, _ = self.call("POST", path, job)
            if status is not None and 200 <= status < 300:
                self.record("accepted", path=path)
                return
            if status in (400, 401, 404, 413):
                break
            time.sleep(0.5)
        raise RuntimeError("the job %s was not accepted" % path)

    def state(self, path):
        status, body = self.call("GET", path)
        return body.get("state") if status == 200 else status

    def is_ready(self, node):
        try:
            connection = http.client.HTTPConnection(
                *self.nodes[node][2].split(":"), timeout=1)
            connection.request("GET", "/kingcuprudder/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    # Record

    def record(self, event, **fields):
        line = dict(t=round(time.time(), 3), who="case", event=event, **fields)
        self.record_file.write((json.dumps(line) + "\n").encode())

    def events(self):
        with open(self.record_path) as file:
            return [json.loads(line) for line in file if line.strip()]

    def runs(self, task):
        """Returns the runs of a task: [minion, run, start, end or None, how].

        A run also ends when its minion is killed.
        """
        found = []
        for e in self.events():
            if e["event"] == "start" and e["task"] == task:
                found.append([e["who"], e["run"], e["t"], None, None])
            elif e["event"] == "end" and e["task"] == task:
                for run in found:
                    if run[:2] == [e["who"], e["run"]] and run[3] is None:
                        run[3:] = [e["t"], e["how"]]
            elif e["event"] == "kill minion":
                for run in found:
                    if run[0] == e["minion"] and run[3] is None:
                        run[3:] = [e["t"], "killed"]
        return found

    def at_work(self, task):
        """Returns the minion at which the task runs, or None."""
        return next((r[0] for r in self.runs(task) if r[3] is None), None)

    def wait_for(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = condition()
            if found:
                return found
            time.sleep(0.1)
        raise RuntimeError("not within %s s: %s" % (seconds, what))


def route(name="q", prefix="/q/", **policy):
    return dict({"name": name, "host": HOST, "prefix": prefix,
                 "kind": "non_idempotent", "timeoutMs": 3000,
                 "targetDurationMs": 1000, "priority": 1, "backend": "pool",
                 "maxAttempts": 3, "stretch": 3.0, "public": False}, **policy)


def run_case(folder, case):
    """Runs a case; it returns None if the rule held, else what broke it."""
    lab = None
    result = COULD_NOT_RUN
    try:
        lab = Lab(folder)
        broken = case(lab)
        lab.record("result", broken=broken)
        print("broken: " + broken if broken else "held")
        result = BROKEN if broken else HELD
    except Exception as error:  # the case could not run
        print("could not run:", repr(error))
        if lab:
            lab.record("could not run", error=repr(error))
    finally:
        if lab:
            lab.close()
    sys.exit(result)
