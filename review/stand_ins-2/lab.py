"""Starts the project's nodes as the deploy file says, with the stand-ins of the
store and of the minions, and writes the record of a case."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import minions
import store
import web

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = "h.example"
KEY = "key-1"
QUEUE = "/q/"
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {"maxHoldMs": 6000, "stopTimeoutMs": 400, "reclaimMs": 2900,
          "spreadFactor": 3, "restoreMs": 100, "status_s": 120, "graceS": 6}


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(count):
    """Returns free ports below those that the kernel gives to connections."""
    ports = set()
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((web.LOOPBACK, port))
            except OSError:
                continue
        ports.add(port)
    return sorted(ports)


def fill(template, fields):
    """Fills in the placeholders of a template of settings."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match.group(2) else str(found)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Node:
    """A process of the system."""

    def __init__(self, lab, name, zone):
        self.lab = lab
        self.name = name
        front, ready, metrics = free_ports(3)
        self.front = f"{web.LOOPBACK}:{front}"
        self.ready = f"{web.LOOPBACK}:{ready}"
        fields = {"nodeName": name, "zone": zone, "ip": web.LOOPBACK,
                  "heartbeatMs": 1500,
                  "listen": {"front": self.front, "ready": self.ready},
                  "portRange": [metrics, metrics],
                  "platform": {"address": lab.store_address},
                  "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
                             "maxFds": 4100}, "bounds": BOUNDS}
        self.settings = lab.folder / f"{name}.json"
        self.settings.write_text(fill(lab.template, fields))
        self.process = None

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["KINGCUPRUDDER_BOOT"] = str(self.settings)
        self.output = open(self.lab.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            self.lab.command, cwd=REPOSITORY, env=env, stdout=self.output,
            stderr=subprocess.STDOUT)

    def signal(self, number):
        self.lab.log(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def start_when_ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.05)
        self.lab.log(f"{self.name} has ended with {self.process.returncode} "
                     "and is started again")
        self.start()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        status, _ = await web.call(self.ready, "GET", "/kingcuprudder/ready",
                                   timeout=0.5)
        return status == 200


class Lab:
    def __init__(self, folder):
        self.case_folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kcr-review-"))
        self.record = open(self.case_folder / "record.txt", "w")
        self.began = time.monotonic()
        self.nodes = []
        deploy = (REPOSITORY / "deploy/system.toml").read_text()
        self.command = re.search(r'^run = "(.*)"', deploy, re.M)[1].split()
        template = re.search(r'^template = "(.*)"', deploy, re.M)[1]
        self.template = (REPOSITORY / template).read_text()
        if not (REPOSITORY / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is not built")

    def now(self):
        return time.monotonic() - self.began

    def log(self, text):
        self.record.write(f"{self.now():8.3f}  {text}\n")

    async def start(self, nodes, backends=1, attempts=3, priority=1):
        self.store = store.Store()
        await self.store.start()
        self.store_address = self.store.server.address
        self.fleet = minions.Fleet(self.store, self.log)
        self.store.put("op/config", {
            "version": 1,
            "routes": [{"name": "q", "host": HOST, "prefix": QUEUE,
                        "backend": "pool", "priority": priority,
                        "maxAttempts": attempts, "stretch": 3.0,
                        "targetDurationMs": 1000}],
            "backends": [{"name": "pool", "rejectsOverload": False}],
            "tenants": [{"name": "t1", "apiKeys": [KEY]}],
            "limits": {"maxBodyBytes": 262144}})
        for number in range(nodes):
            node = Node(self, f"front-z{number % 3 + 1}-{number // 3 + 1}",
                        f"z{number % 3 + 1}")
            node.start()
            self.nodes.append(node)

    async def wait_until_ready(self, timeout=15):
        end = self.now() + timeout
        while self.now() < end:
            ready = [await n.is_ready() for n in self.nodes]
            if all(ready) and self.leader() is not None:
                self.log(f"all nodes are ready; {self.leader().name} leads")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the nodes did not become ready")

    def leader(self):
        """Returns the node that holds the leader record in the store."""
        if "kcr/leader" not in self.store.items:
            return None
        name = self.store.value("kcr/leader")["node"]
        return next((n for n in self.nodes if n.name == name), None)

    async def client(self, node, method, job, body=None, timeout=3.0,
                     quiet=False):
        """Makes a client's call about a job."""
        status, content = await web.call(
            node.front, method, QUEUE + job, body,
            {"Host": HOST, "Authorization": f"Bearer {KEY}",
             "X-Deadline-Ms": "3000"}, timeout)
        if not quiet:
            self.log(f"client: {method} {job} at {node.name}: "
                     f"{status} {json.dumps(content)}")
        return status, content

    async def close(self):
        for node in self.nodes:
            node.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def play(folder, scenario, limit_s=115):
    """Plays a scenario, which returns whether the rule held and a sentence that
    says why. Exits with 0 if it held, 1 if it was broken, 2 if the case could
    not be played."""
    async def run():
        lab = Lab(folder)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            held, reason = await asyncio.wait_for(scenario(lab), limit_s)
            lab.log(("the rule held: " if held else "the rule was broken: ") +
                    reason)
            print(("held: " if held else "broken: ") + reason)
            return HELD if held else BROKEN
        finally:
            await lab.close()
    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # cannot be played
        print(f"cannot run: {error!r}")
        code = NOT_RUN
    sys.exit(code)
