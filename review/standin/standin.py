"""Stand-ins for the platform, the workers and the clients, for the scripts of this review.

They speak what PROTOCOL.md says, on loopback addresses and the real clock. One process serves all
of them; the daemons are separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

BOUNDS = {
    "revokeMs": 5000, "holdMaxMs": 6000, "stopMs": 900, "drainMs": 2000, "leaseMs": 3000,
    "noticeMs": 4500, "harmMs": 4000, "status_s": 120, "graceS": 6, "moveS": 1.5,
    "maintenanceS": 2, "cancel_ms": 3000, "contactMs": 3000, "visible_ms": 3000,
}
HEARTBEAT_S = 1.5
FRONT_PORT = 8340
READY_PORT = 8343
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds from the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, who, text):
        self.file.write(f"{self.now():8.3f} s  {who:12s} {text}\n")
        self.file.flush()


def _network():
    """Returns the start of loopback addresses that no other run is likely to use."""
    drawn = os.urandom(2)
    return f"127.{drawn[0] % 200 + 20}.{drawn[1]}"


NETWORK = _network()
PLATFORM_HOST = f"{NETWORK}.1"
_next_port = 8000


def free_port():
    """Returns a free port of the platform's address."""
    global _next_port
    while True:
        _next_port += 1
        with socket.socket() as probe:
            try:
                probe.bind((PLATFORM_HOST, _next_port))
                return _next_port
            except OSError:
                continue


async def read_message(reader):
    """Reads the start line, the headers in lower case and the body. Returns None at the end."""
    start = await reader.readline()
    if not start.strip():
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if not line.strip():
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return start.decode("latin-1").split(None, 2), headers, body


RESET = "reset"


class HttpServer:
    """Serves `handler(method, path, query, headers, body)`, which returns (status, object). If it
    returns None, the call gets no answer and its connection nothing more. If it returns RESET, the
    connection is reset."""

    def __init__(self, handler):
        self.handler = handler
        self.port = free_port()
        self.server = None
        self.silent = False  # Calls get no answer.
        self.refusing = False  # Calls end with a reset of their connection.
        self.generation = 0  # Connections of earlier generations get nothing any more.
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, PLATFORM_HOST, self.port,
                                                 backlog=512)

    def refuse(self, refusing):
        """Resets all connections now, and new ones at their first call, until told otherwise."""
        self.refusing = refusing
        if refusing:
            self.reset()

    def reset(self):
        """Ends all connections with a reset."""
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        generation = self.generation
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                (method, target, _), headers, body = message
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = None
                if self.refusing:
                    return
                if not self.silent and generation == self.generation:
                    answer = await self.handler(method, urllib.parse.unquote(url.path), query,
                                                headers, body)
                if answer is RESET or self.refusing:
                    return
                if answer is None or self.silent or generation != self.generation:
                    await asyncio.sleep(3600)  # The connection gets nothing further.
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    WRITERS_PREFIXES = ("op/", "servers/")

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.rev = 100
        self.changed = asyncio.Event()

    async def listen(self):
        server = HttpServer(self._handle)
        await server.start()
        return server

    def put(self, key, value):
        """Writes on behalf of the operator or a worker. Returns the revision."""
        self.rev += 1
        self._set(key, base64.b64encode(json.dumps(value).encode()).decode())
        self._notify()
        return self.rev

    def remove(self, key):
        if key in self.items:
            self.rev += 1
            self._delete(key)
            self._notify()

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def _set(self, key, value):
        created = self.items[key]["created"] if key in self.items else self.rev
        self.items[key] = {"key": key, "value": value, "rev": self.rev, "created": created,
                           "lease": 0}
        self.events.append((self.rev, dict(self.items[key])))

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append((self.rev, {"key": key, "rev": self.rev, "deleted": True}))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "at": self.rev})
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transaction(json.loads(body))
        return 400, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:500]
        return 200, {"items": [self.items[k] for k in page], "hasMore": len(keys) > len(page),
                     "at": self.rev}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
        while True:
            changed = self.changed
            events = [e for rev, e in self.events if rev > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.rev}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transaction(self, txn):
        rows = txn.get("precondition", [])
        held = all(self.items.get(r["key"], {"rev": 0})["rev"] == r["rev"] for r in rows)
        if not held:
            return 412, {"items": [self.items[r["key"]] for r in rows if r["key"] in self.items]}
        writes, removals = txn.get("setKeys", []), txn.get("remove", [])
        if len(rows) + len(writes) + len(removals) > 32:
            return 400, {}
        if any(key.startswith(self.WRITERS_PREFIXES)
               for key in [w["key"] for w in writes] + list(removals)):
            return 403, {}
        self.rev += 1
        for write in writes:
            self._set(write["key"], write["value"])
        for key in removals:
            self._delete(key)
        self._notify()
        return 200, {"rev": self.rev}


class Run:
    def __init__(self, task, number, task_number, duration, how, lasts):
        self.task = task
        self.number = number
        self.serial = task_number
        self.began = time.monotonic()
        self.duration = duration
        self.how = how
        self.lasts = lasts
        self.stopped_at = None


class Worker:
    """One worker. `plan(task, run)` returns (seconds of work, how it ends); 'lasts' for a task that
    runs until it is stopped."""

    def __init__(self, world, worker_id, service, machine, cpu=64000, memory=131072, labels=None):
        self.world = world
        self.id = worker_id
        self.service = service
        self.machine = machine
        self.capacity = {"cpu": cpu, "memMb": memory, "gpu": 0}
        self.labels = labels or ["a", "r1-1"]
        self.state = "ready"
        self.http = None
        self.up = False
        self.born = 0
        self.runs = {}

    async def start(self):
        """Begins an incarnation: it holds and knows nothing of earlier ones."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.epoch = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.lapsed_at = 0.0  # When the lease last lapsed.
        self.ended_at = {}  # When each end was listed, by its number.
        self.runs = {}
        self.ended = []
        self.last_end = 0
        self.closed_runs = {}
        self.changed = asyncio.Event()
        self.seq = 1
        self.cut = False  # Whether the worker does not reach the store.
        self.last_heartbeat = time.monotonic()
        self.next_heartbeat = self.last_heartbeat + HEARTBEAT_S
        if self.http is None:
            self.http = HttpServer(self._handle)
        if self.http.server is None:
            await self.http.start()
        elif self.http.silent:
            self.http.generation += 1
            self.http.silent = False
        self.up = True
        self.world.record(self.id, f"up, born {self.born}")
        self.register()

    def register(self):
        self.world.store.put(f"servers/{self.id}", {
            "service": self.service, "addr": f"{PLATFORM_HOST}:{self.http.port}", "zone": "zone-a",
            "version": "v1", "slots": 8, "state": self.state, "coldMs": 0, "machine": self.machine,
            "capacity": self.capacity, "labels": self.labels, "born": self.born,
            "clockMs": self.clock_ms(), "seq": self.seq})

    def heartbeat(self):
        """Writes the entry again about every heartbeat, as the platform's workers do."""
        now = time.monotonic()
        if not self.up or now < self.next_heartbeat:
            return
        self.next_heartbeat += HEARTBEAT_S
        if self.cut:
            # The platform removes the entry after three heartbeats of silence.
            if now - self.last_heartbeat > 3 * HEARTBEAT_S:
                self.world.store.remove(f"servers/{self.id}")
            return
        self.seq += 1
        self.last_heartbeat = now
        self.register()

    def crash(self, silent_entry=True, dark=False):
        """Ends the worker at once. Its entry goes after three heartbeats of silence. If it goes
        dark, its open connections aren't reset but get nothing any more."""
        self.up = False
        self.world.record(self.id, f"CRASH with {[f'{r.task}/{r.number}' for r in self.runs.values()]}")
        for run in self.runs.values():
            self.world.note_end(self, run, "crash")
        self.runs = {}
        if dark:
            self.http.generation += 1
            self.http.silent = True
        else:
            self.http.stop()
        if silent_entry:
            born = self.born
            asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self._expire_entry, born)

    def _expire_entry(self, born):
        if not self.up and self.born == born:
            self.world.store.remove(f"servers/{self.id}")
            self.world.record(self.id, "entry removed")

    def clock_ms(self):
        return int((time.monotonic() - self.epoch) * 1000) + 1000

    def tick(self):
        if not self.up:
            return
        now = time.monotonic()
        if self.clock_ms() >= self.lease:
            self.lapsed_at = now
        for task, run in list(self.runs.items()):
            if run.stopped_at is not None and now - run.stopped_at >= 0.05:
                self._end(run, "stopped")
            elif self.clock_ms() >= self.lease:
                self._end(run, "lapsed")
            elif not run.lasts and now - run.began >= run.duration:
                self._end(run, run.how)

    def _end(self, run, how):
        del self.runs[run.task]
        self.closed_runs[run.task] = max(self.closed_runs.get(run.task, 0), run.number)
        self.last_end += 1
        self.ended_at[self.last_end] = time.monotonic()
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.world.note_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def _extend(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock_ms() + BOUNDS["holdMaxMs"]))

    def _answer(self, status, **fields):
        return status, {"clockMs": self.clock_ms(), "born": self.born, **fields}

    async def _handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("expect-instance", self.id) != self.id:
            return self._answer(421)
        call = json.loads(body)
        lost = self.world.lost(self, path, call)
        if lost:
            return RESET if lost == RESET else None
        delay = self.world.order_delay(self, path, call)
        born = self.born
        if delay is not None:
            # The caller gets no answer, and the order is carried out late.
            asyncio.get_running_loop().call_later(delay, self._late, born, path, call)
            return None
        if path == "/run-start":
            return self._start(call)
        if path == "/run-stop":
            return self._stop(call)
        if path == "/hold":
            return await self._hold(call)
        if path == "/pace":
            return self._answer(200)
        return 400, {}

    def _late(self, born, path, call):
        if self.up and self.born == born:
            answer = self._start(call) if path == "/run-start" else self._stop(call)
            self.world.record(self.id, f"late {path} {call.get('task')}: {answer}")

    def _start(self, call):
        task, number, fence = call["task"], call["run"], call.get("fence", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        deadline = call.get("deadlineMs")
        running = self.runs.get(task)
        if running is not None and running.number == number:
            self._extend(deadline)
            return self._answer(200)
        if not self.world.ticket_valid(self, task, call.get("token", "")):
            return self._answer(409, reason="ticket")
        if number <= self.closed_runs.get(task, 0) or (running and number < running.number):
            self._extend(deadline)
            return self._answer(409, reason="old")
        if deadline is not None and deadline <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(deadline)
        duration, how = self.world.plan(task, number)
        run = Run(task, number, self.world.next_serial(), duration, how, how == "lasts")
        self.runs[task] = run
        self.world.note_start(self, run, call)
        return self._answer(200)

    def _stop(self, call):
        task, number, fence = call["task"], call["run"], call.get("fence", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        self.closed_runs[task] = max(self.closed_runs.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stopped_at is None:
            run.stopped_at = time.monotonic()
        return self._answer(200)

    async def _hold(self, call):
        fence = call.get("fence", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        self._extend(call.get("deadlineMs"))
        acked = call.get("ackedUpto", 0)
        for end in self.ended:
            if end[0] <= acked and self.lapsed_at < self.ended_at[end[0]]:
                self.world.note_ack(self, end)
            elif end[0] <= acked:
                self.world.record(self.id, f"end of {end[1]} run {end[2]} is acknowledged after "
                                           "the lease lapsed; it doesn't count as taken note of")
        self.ended = [end for end in self.ended if end[0] > acked]
        born = self.born
        until = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        lost = self.world.lost(self, "/hold", call)
        if not self.up or self.born != born or lost:
            return RESET if lost == RESET else None
        now = time.monotonic()
        running = []
        for run in self.runs.values():
            share = 100 if run.lasts else int(100 * min((now - run.began) / run.duration, 1))
            if run.lasts and now - run.began < 0.7:
                share = 0
            running.append([run.task, run.number, "", share, 10])
        return self._answer(200, running=running, ended=self.ended[:500])


class Cloud:
    """The machines of the fleet. Each has one worker at a time."""

    def __init__(self, world):
        self.world = world
        self.machines = {}
        self.waves = {}
        self.http = HttpServer(self._handle)

    def add(self, worker):
        self.machines[worker.machine] = {
            "worker": worker, "state": "up", "pool": worker.service, "fence": 0, "holder": "",
            "done": set(), "lives": 1}

    def down_for_wave(self, wave):
        return sorted(m for m, e in self.machines.items() if e["state"] == "upkeep"
                      and e.get("wave") == wave)

    async def _handle(self, method, path, query, headers, body):
        if path == "/machines":
            rows = []
            for name, entry in sorted(self.machines.items()):
                worker = entry["worker"]
                up = entry["state"] == "up"
                rows.append({"machine": name, "pool": entry["pool"], "state": entry["state"],
                             "zone": "zone-a", "labels": worker.labels,
                             "capacity": worker.capacity, "id": worker.id if up else ""})
            return 200, {"machines": rows, "next": None}
        call = json.loads(body)
        call["holder"] = headers.get("lease-holder", "")
        call["token"] = int(headers.get("fencing-token", "0"))
        call["sent"] = self.world.record.now()
        delay = self.world.cloud_delay(path, call)
        if delay is not None:
            self.world.record("cloud", f"{path} {call} gets no answer, carried out {delay} s later")
            asyncio.get_running_loop().call_later(delay, self._late, path, call)
            return None
        return self._execute(path, call)

    def _late(self, path, call):
        self.world.record("cloud", f"late {path} {call}: {self._execute(path, call)}")

    def _execute(self, path, call):
        entry = self.machines.get(call["machine"])
        if entry is None:
            return 400, {}
        if call["token"] < entry["fence"]:
            return 409, {"reason": "fence"}
        entry["fence"] = call["token"]
        entry["holder"] = call["holder"]
        if path == "/machine-upkeep":
            wave = call["wave"]
            if call["machine"] not in self.waves.get(wave, {}).get("machines", []):
                return 409, {"reason": "wave"}
            if wave in entry["done"]:
                return 200, {}
            if entry["state"] != "up":
                return 409, {"reason": "busy"}
            entry["done"].add(wave)
            entry["wave"] = wave
            self._take_down(entry, call, "upkeep", BOUNDS["maintenanceS"], entry["pool"])
            self.world.note_upkeep(wave, call)
            return 200, {}
        if path == "/machine-move":
            if entry["pool"] == call["pool"]:
                return 200, {}
            if entry["state"] != "up":
                return 409, {"reason": "busy"}
            self._take_down(entry, call, "moving", BOUNDS["moveS"], call["pool"])
            return 200, {}
        return 400, {}

    def _take_down(self, entry, call, state, seconds, pool):
        self.world.record("cloud", f"{state} of {call['machine']} begins, by {call['holder']} "
                                   f"with token {call['token']}")
        entry["state"] = state
        entry["pool"] = pool
        worker = entry["worker"]
        worker.crash(silent_entry=False)
        self.world.store.remove(f"servers/{worker.id}")
        asyncio.get_running_loop().call_later(
            seconds, lambda: asyncio.ensure_future(self._back(entry)))

    async def _back(self, entry):
        old = entry["worker"]
        entry["lives"] += 1
        worker = Worker(self.world, f"{old.machine}-life{entry['lives']}", entry["pool"],
                        old.machine, old.capacity["cpu"], old.capacity["memMb"], old.labels)
        entry["worker"] = worker
        entry["state"] = "up"
        self.world.workers[worker.id] = worker
        await worker.start()


def render(template, fields):
    """Renders the sections and placeholders that deploy/settings.toml.in uses."""

    def lookup(scope, name):
        if name == ".":
            return scope[-1]
        for level in reversed(scope):
            value = level
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def expand(text, scope):
        def section(match):
            value = lookup(scope, match[1])
            return "" if value in (None, False) else expand(match[2], scope + [value])

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}",
                      lambda m: "" if lookup(scope, m[1]) is None else str(lookup(scope, m[1])),
                      text)

    return expand(template, [fields])


class Daemon:
    """One daemon of the system, as a process of its own."""

    def __init__(self, world, name, store_port):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        self.world = world
        self.name = name
        self.command = shlex.split(role["run"])
        self.ip = f"{NETWORK}.{len(world.daemons) + 11}"
        fields = {
            "node": name, "zone": "zone-a", "ip": self.ip,
            "limits": {"cpuShare": 0.25, "cores": 1},
            "listen": {"front": f"{self.ip}:{FRONT_PORT}", "ready": f"{self.ip}:{READY_PORT}"},
            "portRange": [7040, 7055],
            "platform": {"addr": f"{PLATFORM_HOST}:{store_port}"},
            "cloud": {"addr": f"{PLATFORM_HOST}:{world.cloud.http.port}"} if world.cloud else {},
            "advice": f"{PLATFORM_HOST}:{world.advice.port}" if world.advice else None,
            "bounds": BOUNDS,
        }
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        self.settings = os.path.join(world.folder, f"{name}.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.log = os.path.join(world.folder, f"{name}.log")
        self.process = None

    def start(self):
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["CRANBERRYPLANK_SETTINGS"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.world.record(self.name, f"started, pid {self.process.pid}")

    def signal(self, number):
        self.world.record(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def stop(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Client:
    """A client with one connection to a daemon, which it keeps open."""

    def __init__(self, world, daemon, key="key-1", host="jobs.example"):
        self.world = world
        self.daemon = daemon
        self.key = key
        self.host = host
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.daemon.ip,
                                                                  FRONT_PORT)

    async def call(self, method, path, body=None, deadline_ms=3000):
        """Returns (status, object), or (None, reason) without an answer in time."""
        data = b"" if body is None else json.dumps(body).encode()
        self.world.record("client", f"{method} {path} to {self.daemon.name}")
        try:
            if self.writer is None or self.writer.is_closing():
                await asyncio.wait_for(self.connect(), deadline_ms / 1000)
            self.writer.write((
                f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\nAuthorization: Bearer {self.key}"
                f"\r\nDeadline-Ms: {deadline_ms}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
            message = await asyncio.wait_for(read_message(self.reader), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            message = None
            reason = repr(error)
        else:
            reason = "connection closed"
        if message is None:
            self.close()
            self.world.record("client", f"{method} {path} at {self.daemon.name}: no answer, {reason}")
            return None, reason
        (_, status, _), _, content = message
        answer = json.loads(content) if content else {}
        self.world.record("client", f"{method} {path} at {self.daemon.name}: {status} {answer}")
        return int(status), answer

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


class World:
    """The platform, the workers, the daemons and what they did."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.cloud = None
        self.advice = None
        self.workers = {}
        self.daemons = []
        self.store_ports = []
        self.serial = 0
        self.starts = []
        self.fences = {}  # Of starts, by task, run and worker.
        self.ends = []
        self.acks = []
        self.upkeeps = []
        self.tasks = {}
        self.random = random.Random(1)

    # What the cases may replace.
    def plan(self, task, run):
        return 1.0, "done"

    def lost(self, worker, path, call):
        """Returns whether a call between a daemon and a worker is lost on the way."""
        return False

    def order_delay(self, worker, path, call):
        return None

    def cloud_delay(self, path, call):
        return None

    def ticket_valid(self, worker, task, ticket):
        return True

    def next_serial(self):
        self.serial += 1
        return self.serial

    def note_start(self, worker, run, call):
        self.starts.append((self.record.now(), run.task, run.number, worker.id))
        self.fences[run.task, run.number, worker.id] = call.get("fence", 0)
        self.record(worker.id, f"starts {run.task} run {run.number} fence {call.get('fence')}")

    def note_end(self, worker, run, how):
        self.ends.append((self.record.now(), run.task, run.number, worker.id, how))
        self.record(worker.id, f"ends {run.task} run {run.number}: {how}")

    def note_ack(self, worker, end):
        self.acks.append((self.record.now(), end[1], end[2], worker.id, end[3]))
        self.record(worker.id, f"end of {end[1]} run {end[2]} ({end[3]}) is taken note of")

    def note_upkeep(self, wave, call):
        down = self.cloud.down_for_wave(wave)
        self.upkeeps.append((self.record.now(), call["machine"], down))
        self.record("cloud", f"down for wave {wave}: {down}")

    def configure(self, version, routes, tenants, services):
        self.store.put("op/config", {"version": version, "routes": routes, "tenants": tenants,
                                     "services": services, "limits": {}})
        self.record("operator", f"configuration {version}: routes "
                                f"{[(r['name'], r['service'], r['attempts']) for r in routes]}")

    async def start_daemons(self, count):
        for index in range(count):
            server = await self.store.listen()
            self.store_ports.append(server)
            self.daemons.append(Daemon(self, f"front-{index + 1}", server.port))
        for daemon in self.daemons:
            daemon.start()

    async def run_ticks(self):
        while True:
            for worker in list(self.workers.values()):
                worker.tick()
                worker.heartbeat()
            await asyncio.sleep(0.01)

    def owner(self):
        """The daemon that last claimed the schedule, by what it wrote to the store."""
        value = self.store.value("duty/schedule")
        if value is None:
            return None
        name = json.loads(value)["owner"]
        return next((d for d in self.daemons if d.name == name), None)

    async def wait_ready(self, seconds=20):
        """Waits until all daemons report that they are ready and one of them owns the schedule."""
        until = time.monotonic() + seconds
        for daemon in self.daemons:
            while time.monotonic() < until:
                try:
                    reader, writer = await asyncio.open_connection(daemon.ip, READY_PORT)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    message = await asyncio.wait_for(read_message(reader), 1)
                    writer.transport.abort()
                    if message and message[0][1] == "200":
                        break
                except (OSError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{daemon.name} did not become ready")
        while self.owner() is None:
            if time.monotonic() > until:
                raise CannotRun("no daemon owns the schedule")
            await asyncio.sleep(0.1)

    def stop(self):
        for daemon in self.daemons:
            daemon.stop()
        for server in self.store_ports:
            server.stop()
        for worker in self.workers.values():
            if worker.http is not None:
                worker.http.stop()
        if self.cloud is not None:
            self.cloud.http.stop()
        if self.advice is not None:
            self.advice.stop()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, attempts=3, prefix="/jobs/", priority=0):
    return {"name": name, "host": "jobs.example", "prefix": prefix, "kind": "unsafe",
            "timeoutMs": 3000, "sloMs": 600, "priority": priority, "service": service,
            "attempts": attempts, "stretch": 1.6, "public": False}


def tenant(name="tenant-1", keys=("key-1",), cpu=0):
    return {"name": name, "keys": list(keys), "weight": 100, "cap": {"cpu": cpu, "memMb": 0,
                                                                     "gpu": 0}}


def job_id(number):
    return f"{number:016x}"


def main(case_file, case):
    """Runs `case(world)`, which returns the list of broken rules. Exits with 1 if there are any,
    with 0 if there are none and with 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(case_file))

    async def run():
        world = World(folder)
        signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
        ticks = asyncio.ensure_future(world.run_ticks())
        try:
            world.record("case", f"TROUBLE={'1' if TROUBLE else '0'}")
            broken = await asyncio.wait_for(case(world), 115)
            for line in broken:
                world.record("BROKEN", line)
                print(line)
            world.record("case", f"{len(broken)} violations")
            return 1 if broken else 0
        except Exception as error:  # An error of the script itself shows nothing.
            world.record("case", f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            ticks.cancel()
            world.stop()

    raise SystemExit(asyncio.run(run()))
