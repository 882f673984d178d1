"""Stand-ins for the review's scripts: the platform's store and machine list, workers and clients.

They follow PROTOCOL.md. Everything listens on loopback addresses and ends with the script. The
daemons are real processes, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CONNECTION_CLOSED = (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, OSError)

CONNECTIONS_PER_WORKER = 64  # As in SYSTEM.md.
PORT_RANGE = (20500, 32000)
TAKEN_PORTS = set()

# Bounds of a small deployment, as in SYSTEM.md.
BOUNDS = {
    "revokeMs": 5000, "holdMaxMs": 6000, "stopMs": 900, "drainMs": 2000, "leaseMs": 3000,
    "noticeMs": 4500, "harmMs": 4000, "status_s": 120, "graceS": 6, "moveS": 1.5,
    "maintenanceS": 2, "farX": 2, "cancel_ms": 3000, "visible_ms": 3000, "contactMs": 3000,
}


def free_ports(count):
    """Returns ports below those that the kernel gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            ports.append(port)
    return ports


def render(template, fields):
    """Fills in a settings template as DEPLOY.md describes, as far as this project's one needs."""

    def value_of(name, scope):
        if name == ".":
            return scope
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = value_of(match.group(1), None)
        return plain(match.group(2), value) if value else ""

    def plain(text, scope):
        def text_of(match):
            value = value_of(match.group(1), scope)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([\w.]+)\}\}", text_of, text)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return plain(text, None)


class HttpServer:
    """A small HTTP/1.1 server with JSON bodies and kept connections."""

    def __init__(self, handler, most_connections=None):
        self.handler = handler  # async (method, path, query, headers, body) -> (status, dict)
        self.most_connections = most_connections  # Further ones are closed unread.
        self.server = None
        self.writers = set()

    async def listen(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=1024)

    async def serve(self, reader, writer):
        if self.most_connections and len(self.writers) >= self.most_connections:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                start, headers, body = request
                method, target, _ = start.split(" ")
                url = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                answer = await self.handler(method, url.path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)  # No answer; the caller times out.
                status, fields = answer
                data = json.dumps(fields).encode()
                writer.write(f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (*CONNECTION_CLOSED, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Ends as a process does: the port and all connections are closed."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)

    def put(self, key, value):
        """Writes on behalf of the operator or a worker."""
        self.revision += 1
        self.set(key, value if isinstance(value, bytes) else json.dumps(value).encode())
        self.notify()

    def drop(self, key):
        if key in self.items:
            self.revision += 1
            self.remove(key)
            self.notify()

    def set(self, key, value):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                "created": created, "lease": 0}
        self.items[key] = item
        self.events.append(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.events.append({"key": key, "rev": self.revision, "deleted": True})

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and
                          key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "hasMore": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.commit(json.loads(body))
        return 400, {}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [event for event in self.events
                      if event["rev"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, call):
        current = [self.items.get(row["key"], {"key": row["key"], "rev": 0})
                   for row in call.get("precondition", [])]
        if any(item["rev"] != row["rev"]
               for item, row in zip(current, call.get("precondition", []))):
            return 412, {"items": [item for item in current if item["rev"]]}
        self.revision += 1
        for row in call.get("setKeys", []):
            self.set(row["key"], base64.b64decode(row["value"]))
        for key in call.get("remove", []):
            self.remove(key)
        self.notify()
        return 200, {"rev": self.revision}


class Run:
    def __init__(self, number, spec, now):
        self.number = number
        self.began = now
        fields = json.loads(spec) if spec else {}
        work = fields.get("ms", 500)
        self.until_release = fields.get("until_release", False)
        fails_ms = fields.get("fails_ms", 0)  # Fails so soon until the script mends its cause.
        self.fails_at = now + fails_ms / 1000 if fails_ms else float("inf")
        self.lasts = work <= 0
        self.ends = now + (3600 if self.lasts else work / 1000)
        self.work = max(work, 1) / 1000
        self.stops_at = None

    def percent(self, now):
        return 100 if self.lasts else min(99, int(100 * (now - self.began) / self.work))


class Worker:
    """A worker. `crash` ends one life of it, `start` begins the next."""

    def __init__(self, world, number, service, labels, capacity):
        self.world = world
        self.id = f"i-{number:08x}"
        self.machine = f"m-{number:05x}"
        self.service = service
        self.labels = labels
        self.capacity = capacity
        self.port = free_ports(1)[0]
        self.up = False

    async def start(self, register=True):
        self.born = int(time.time() * 1000)
        self.clock_base = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.runs = {}
        self.highest_over = {}  # Highest run that was stopped or ended, by task.
        self.ended = []
        self.last_end = 0
        self.new_end = asyncio.Event()
        self.lapsed = True  # No lease is in force.
        self.lapses = []
        self.end_times = {}  # By the number of the end.
        self.http = HttpServer(self.handle, CONNECTIONS_PER_WORKER)
        await self.http.listen(self.port)
        self.up = True
        self.ticker = asyncio.create_task(self.tick())
        if register:
            self.register()

    def register(self, state="ready"):
        self.world.store.put(f"servers/{self.id}", {
            "service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": "fes-medina",
            "version": "1", "slots": 8, "state": state, "coldMs": 0, "seq": 1,
            "capacity": self.capacity, "labels": self.labels, "machine": self.machine,
            "born": self.born})

    def crash(self):
        for task, run in self.runs.items():
            self.world.record("lost with its worker", task=task, run=run.number, worker=self.id)
        self.runs = {}
        self.up = False
        self.ticker.cancel()
        self.http.close()

    def clock(self):
        return int((time.monotonic() - self.clock_base) * 1000) + 1000

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        self.ended.append([self.last_end, task, run.number, how, ""])
        self.end_times[self.last_end] = self.world.now()
        self.highest_over[task] = max(self.highest_over.get(task, 0), run.number)
        self.world.record("ended", task=task, run=run.number, how=how, worker=self.id)
        self.new_end.set()
        self.new_end = asyncio.Event()

    async def tick(self):
        while True:
            now = time.monotonic()
            if not self.lapsed and self.clock() >= self.deadline:
                self.lapsed = True
                self.lapses.append(self.world.now())
                self.world.record("lease lapsed", worker=self.id)
            for task, run in list(self.runs.items()):
                if run.stops_at and now >= run.stops_at:
                    self.end(task, "stopped")
                elif now >= run.ends or (run.until_release and now >= self.world.release_at):
                    self.end(task, "done")
                elif now >= run.fails_at and not self.world.mended:
                    self.end(task, "failed")
                elif self.clock() >= self.deadline:
                    self.end(task, "lapsed")
            await asyncio.sleep(0.005)

    async def handle(self, method, path, query, headers, body):
        call = json.loads(body) if body else {}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        if call.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = call.get("fence", 0)
        if path == "/run-start":
            return self.run_start(call)
        if path == "/run-stop":
            run = self.runs.get(call["task"])
            if run and run.number <= call["run"]:
                run.stops_at = run.stops_at or time.monotonic() + 0.05
            self.highest_over[call["task"]] = max(self.highest_over.get(call["task"], 0),
                                                  call["run"])
        elif path == "/hold":
            return await self.hold(call)
        return 200, {"clockMs": self.clock()}

    def runs_of_jobs(self):
        return {task.split(".")[0] for task in self.runs}

    def extend(self, deadline):
        limit = self.clock() + BOUNDS["holdMaxMs"]
        self.deadline = max(self.deadline, min(deadline, limit))
        self.lapsed = self.lapsed and self.deadline <= self.clock()

    def run_start(self, call):
        task, number = call["task"], call["run"]
        if call["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(call["deadlineMs"])
        present = self.runs.get(task)
        if present and present.number == number:
            return 200, {"clockMs": self.clock()}
        if present or number <= self.highest_over.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        self.runs[task] = Run(number, call["spec"], time.monotonic())
        self.world.record("started", task=task, run=number, worker=self.id, labels=self.labels,
                          service=self.service)
        self.world.on_start(self, task, number)
        return 200, {"clockMs": self.clock()}

    async def hold(self, call):
        acked = call.get("ackedUpto", 0)
        for number, task, run, how, _ in self.ended:
            ended_at = self.end_times[number]
            if number <= acked and not any(ended_at < each for each in self.lapses):
                self.world.noted.append((ended_at, task, run, how, self.id))
        self.ended = [row for row in self.ended if row[0] > acked]
        if "deadlineMs" in call:
            self.extend(call["deadlineMs"])
        if call.get("waitMs") and not self.ended:
            try:
                await asyncio.wait_for(self.new_end.wait(), call["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run.number, "", run.percent(now), 0] for task, run in self.runs.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}


class Daemon:
    """A real daemon, started as the deploy file says."""

    def __init__(self, world, number, cores=1.0):
        self.world = world
        self.name = f"front-fes-medina-{number}"
        front, ready, self.peers, metrics = free_ports(4)
        self.front = front
        self.path = os.path.join(world.folder, f"{self.name}.toml")
        fields = {
            "node": self.name, "zone": "fes-medina", "ip": "127.0.0.1",
            "limits": {"cpuShare": 0.25, "cores": cores, "memoryMb": 260, "maxFds": 4100},
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "portRange": {"0": self.peers}, "platform": {"addr": f"127.0.0.1:{world.store_port}"},
            "cloud": {"addr": f"127.0.0.1:{world.cloud_port}"}, "bounds": BOUNDS,
        }
        with open(os.path.join(ROOT, "deploy/settings.toml.in"), encoding="ascii") as template:
            text = render(template.read(), fields)
        # All daemons share one address here, so the port of the metrics differs.
        text = text.replace('"127.0.0.1:7001"', f'"127.0.0.1:{metrics}"')
        with open(self.path, "w", encoding="ascii") as settings:
            settings.write(text)
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as deploy:
            command = tomllib.load(deploy)["roles"]["entry"]["run"].split()
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, command[0]), *command[1:], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.world.folder,
                 "CRANBERRYPLANK_SETTINGS": self.path})
        log.close()

    def signal(self, number):
        self.world.record("signal", daemon=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def call(self, method, path, body=None, timeout=3.0, key="key-1", host="a.example"):
        """Sends one request on a connection of its own. Returns (status, fields) or None."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.front), timeout)
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nAuthorization: Bearer {key}\r\n"
                f"Deadline-Ms: {int(timeout * 1000)}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            start, _, answer = await asyncio.wait_for(read_message(reader), timeout)
            result = int(start.split(" ")[1]), json.loads(answer or b"{}")
        except CONNECTION_CLOSED:
            result = None
        finally:
            if writer:
                writer.close()
        self.world.record("call", daemon=self.name, method=method, path=path,
                          answer=result[0] if result else None,
                          fields=result[1] if result else None)
        return result


class World:
    """All stand-ins and daemons of one script, and its record."""

    def __init__(self, case_folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.lines = open(os.path.join(case_folder, "record.txt"), "w", encoding="utf-8")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = os.environ.get("KEEP_LOGS") or self.temporary.name
        self.store = Store()
        self.store_port, self.cloud_port = free_ports(2)
        self.cloud = HttpServer(self.handle_cloud)
        self.workers = []
        self.daemons = []
        self.release_at = float("inf")  # When tasks end whose work lasts until then.
        self.mended = False  # Whether tasks that fail by their own fault work now.
        self.starts = []  # (time, task, run, worker)
        # Ends that were taken note of while the worker's lease had not lapsed since.
        self.noted = []  # (time of the end, task, run, how, worker)

    def now(self):
        return time.monotonic() - self.began

    def record(self, what, **fields):
        if what == "started":
            self.starts.append((self.now(), fields["task"], fields["run"], fields["worker"]))
        self.lines.write(f"{self.now():8.3f} {what} {json.dumps(fields)}\n")
        self.lines.flush()

    def on_start(self, worker, task, run):
        """A script may replace this to act when a worker has begun a task."""

    async def handle_cloud(self, method, path, query, headers, body):
        if method == "GET" and path == "/machines":
            rows = [{"machine": each.machine, "pool": each.service,
                     "state": "up" if each.up else "down", "zone": "fes-medina",
                     "labels": each.labels, "capacity": each.capacity,
                     "id": each.id if each.up else ""} for each in self.workers]
            return 200, {"machines": rows, "next": None}
        return 409, {"reason": "busy"}

    async def start(self, config, workers, daemons, labels=("a", "r1-1"),
                    capacity=None, service="sonotest"):
        await self.store.http.listen(self.store_port)
        await self.cloud.listen(self.cloud_port)
        self.store.put("op/config", config)
        self.record("configuration", config=config)
        for number in range(workers):
            worker = Worker(self, number + 1, service, list(labels),
                            capacity or {"cpu": 64000, "memMb": 131072, "gpu": 0})
            self.workers.append(worker)
            await worker.start()
        for number in range(daemons):
            self.daemons.append(Daemon(self, number + 1))
            await self.daemons[-1].start()

    def starts_after_done(self):
        """Returns the starts of tasks of which a run had ended as done, as in the rule TWICE."""
        done = {}
        for at, task, run, how, worker in self.noted:
            if how == "done":
                done.setdefault(task, []).append((at, run, worker))
        return [(task, ended, (at, run, worker)) for at, task, run, worker in self.starts
                for ended in done.get(task, []) if ended[0] < at and ended[1] != run]

    async def until_served(self, prefix, timeout=20):
        """Waits until each daemon answers a count of waiting jobs."""
        end = time.monotonic() + timeout
        for daemon in self.daemons:
            while True:
                answer = await daemon.call("GET", prefix)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.2)
        return True

    async def submit(self, daemon, prefix, job, steps, work_ms, attempts=12, **more):
        """Hands a job in as a client does: it repeats a call that has no final answer."""
        for _ in range(attempts):
            answer = await daemon.call("POST", prefix + job,
                                       {"spec": json.dumps({"ms": work_ms, **more}), "steps": steps})
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def close(self):
        for daemon in self.daemons:
            await daemon.end()
        for worker in self.workers:
            if worker.up:
                worker.crash()
        self.store.http.close()
        self.cloud.close()
        self.lines.close()


def config(version, routes, service="sonotest"):
    """A configuration of one service and one tenant."""
    return {"version": version, "routes": routes,
            "services": [{"name": service, "admissionCheck": False}],
            "tenants": [{"name": "tenant-1", "keys": ["key-1"], "weight": 10,
                         "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}],
            "limits": {"headerBytes": 16384, "bodyBytes": 262144}}


def route(name, prefix, service="sonotest"):
    return {"name": name, "host": "a.example", "prefix": prefix, "kind": "unsafe",
            "timeoutMs": 3000, "sloMs": 600, "priority": 0, "service": service, "attempts": 3,
            "stretch": 1.6, "public": False}


def main(case_file, case):
    """Runs a case: an async function of a World that returns one of the exit codes."""

    async def run():
        world = World(os.path.dirname(os.path.abspath(case_file)))
        try:
            result = await asyncio.wait_for(case(world), 110)
        except Exception as error:  # An exit code of 1 is kept for a broken rule.
            print(f"the script failed: {error!r}")
            result = COULD_NOT_RUN
        finally:
            await world.close()
        return result

    if not os.path.exists(os.path.join(ROOT, "target/packages/daemon/cranberryplankd")):
        print("the deploy file's build is missing")
        sys.exit(COULD_NOT_RUN)
    try:
        result = asyncio.run(run())
    except Exception as error:
        print(f"the script failed: {error!r}")
        result = COULD_NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken",
           COULD_NOT_RUN: "the case could not run"}[result])
    sys.exit(result)
