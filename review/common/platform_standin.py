"""Stand-in of the users' platform for the cases of this review.

One asyncio program plays the metadata store (PROTOCOL.md, "The platform's metadata store"), the
executors ("Running tasks") and the clients, and starts the processes of the system with the `run`
line of deploy/system.toml. Everything listens on loopback addresses.
"""

import asyncio
import base64
import json
import math
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000,
    "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_stretch_ms": 6000, "recovery_s": 12,
    "max_hold_ms": 10000, "stop_timeout_ms": 900, "gang_timeout_ms": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far_factor": 2,
    "checkpoint_s": 2, "restore_ms": 600, "notice_ms": 5500, "move_s": 1.5, "maintenance_s": 2,
    "fencing_enabled": True, "lease_ms": 3000, "thaw_ms": 300, "pacing_ms": 100, "harm_ms": 4000}
STORE_LIMITS = {
    "form": "log", "writes_per_s": 600, "reads_per_s": 2000, "parts": 8, "append_ms": 4.0,
    "partition_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
    "keep_s": 300, "part_mb": 200, "min_ttl_ms": 1000}


class CannotRun(Exception):
    """The environment lacks something that the case needs; exit status 2."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_request(reader, writer):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("expect", "").lower() == "100-continue":
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def never():
    await asyncio.Event().wait()


class HttpListener:
    """HTTP/1.1 server. `handle(request)` returns (status, body); None means no answer, ever."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 22)

    def close(self):
        """Ends like a killed process: the port is closed and all channels are reset."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                request = await read_request(reader, writer)
                if request is None:
                    break
                answer = await self._handle(request)
                if answer is None:
                    await never()
                status, body = answer
                if not isinstance(body, bytes):
                    body = json.dumps(body, separators=(",", ":")).encode()
                head = (f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\n"
                        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n")
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.busy_until = 0.0

    def end(self):
        return len(self.records)


class Store:
    """The metadata store in the form of a log. All its state is kept until the program ends."""

    def __init__(self, record):
        self.record = record
        self.partitions = {}
        self.groups = {}
        self.down = False
        # Nodes whose calls get no answer.
        self.cut = set()
        self.refused_appends = 0
        # Answers, and the appends themselves, take this many times as long.
        self.slowness = 1

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        """Writes of the operator and of the executors."""
        self._append(topic, self.partition(topic, 0),
                     [bytes([len(key)]) + key.encode() + json.dumps(value).encode()])

    def drop(self, topic, key):
        self._append(topic, self.partition(topic, 0), [bytes([len(key)]) + key.encode()])

    def _append(self, topic, partition, contents):
        for content in contents:
            if topic.startswith("keyed."):
                size = content[0]
                key = content[1:1 + size]
                value = content[1 + size:]
                if value:
                    partition.newest[key] = (value, partition.end())
                else:
                    partition.newest.pop(key, None)
            partition.records.append(content)
        partition.changed.set()
        partition.changed = asyncio.Event()

    def handler(self, node):
        async def handle(request):
            if self.down or node in self.cut:
                return None
            if self.slowness > 1 and not request.path.endswith("log-append"):
                await asyncio.sleep(STORE_LIMITS["append_ms"] * self.slowness / 1000)
            answer = await self._dispatch(request)
            # An answer that would leave during the outage is lost.
            return None if self.down or node in self.cut else answer
        return handle

    async def _dispatch(self, request):
        name = request.path.rsplit("/", 1)[-1]
        calls = {"log-append": self._log_append, "log-read": self._log_read,
                 "log-newest": self._log_newest, "log-join": self._log_join,
                 "log-owners": self._log_owners, "log-leave": self._log_leave}
        if name not in calls:
            return 404, {}
        return await calls[name](request)

    @staticmethod
    def _split(body):
        contents = []
        while body:
            (size,) = struct.unpack(">I", body[:4])
            contents.append(body[4:4 + size])
            body = body[4 + size:]
        return contents

    async def _log_append(self, request):
        query = request.query
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        partition = self.partition(topic, query.get("part", 0))
        contents = self._split(request.body)
        if len(request.body) > STORE_LIMITS["call_bytes"] or any(
                len(content) > STORE_LIMITS["record_bytes"] for content in contents):
            self.refused_appends += 1
            if self.refused_appends <= 20:
                sizes = max(len(content) for content in contents)
                self.record.write(f"store: 400 for an append to {topic}, largest record {sizes} "
                                  f"bytes, record_bytes is {STORE_LIMITS['record_bytes']}")
            return 400, {}
        now = time.monotonic()
        partition.busy_until = (max(now, partition.busy_until) +
                                STORE_LIMITS["append_ms"] * self.slowness / 1000)
        await asyncio.sleep(partition.busy_until - now)
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            known = partition.producers.setdefault(query["producer"],
                                                   {"epoch": -1, "seq": None, "answers": {}})
            if epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > known["epoch"]:
                known.update(epoch=epoch, seq=None, answers={})
            if not contents:
                return 200, {"offset": partition.end(), "end_offset": partition.end()}
            if seq in known["answers"]:
                return 200, known["answers"][seq]
            if known["seq"] is not None and seq != known["seq"] + 1:
                return 409, {"reason": "seq", "seq": known["seq"] + 1}
        if "at" in query and int(query["at"]) != partition.end():
            return 412, {"end_offset": partition.end()}
        answer = {"offset": partition.end()}
        self._append(topic, partition, contents)
        answer["end_offset"] = partition.end()
        if "producer" in query:
            known["seq"] = seq
            known["answers"][seq] = answer
            for old in sorted(known["answers"])[:-5]:
                del known["answers"][old]
        return 200, answer

    async def _log_read(self, request):
        query = request.query
        partition = self.partition(query["topic"], query.get("part", 0))
        start = int(query["from"])
        if start >= partition.end() and int(query.get("wait_ms", 0)) > 0:
            try:
                await asyncio.wait_for(partition.changed.wait(), int(query["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        body = [struct.pack(">QQ", partition.end(), 0)]
        size = 0
        for content in partition.records[start:]:
            size += len(content) + 4
            if size > int(query.get("max_kb", 1024)) * 1024:
                break
            body.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(body)

    async def _log_newest(self, request):
        query = request.query
        partition = self.partition(query["topic"], query.get("part", 0))
        after = query.get("after", "").encode()
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        size = 0
        for key in keys:
            value, offset = partition.newest[key]
            size += len(value)
            if len(items) == 500 or (items and size > 1 << 20):
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(),
                          "offset": offset})
        return 200, {"items": items, "has_more": len(items) < len(keys),
                     "end_offset": partition.end()}

    def _deal(self, group):
        """Drops silent members and deals the partitions evenly."""
        now = time.monotonic()
        gone = [name for name, row in group["members"].items() if row["until"] <= now]
        for name in gone:
            del group["members"][name]
        names = sorted(group["members"])
        if names != group["dealt"]:
            group["dealt"] = names
            group["generation"] += 1

    def _rows(self, group):
        names = group["dealt"]
        cells = [(topic, part) for topic in group["topics"]
                 for part in range(STORE_LIMITS["parts"])]
        return [(topic, part, names[i % len(names)]) for i, (topic, part) in enumerate(cells)
                ] if names else []

    async def _log_join(self, request):
        body = request.json()
        group = self.groups.setdefault(
            body["group"], {"members": {}, "generation": 0, "dealt": [], "topics": []})
        group["topics"] = body["topics"]
        until = time.monotonic() + max(body["ttl_ms"], STORE_LIMITS["min_ttl_ms"]) / 1000
        group["members"][body["member"]] = {"until": until}
        self._deal(group)
        parts = [[topic, part, 0] for topic, part, name in self._rows(group)
                 if name == body["member"]]
        return 200, {"generation": group["generation"], "parts": parts}

    async def _log_leave(self, request):
        body = request.json()
        group = self.groups.get(body["group"])
        if group:
            group["members"].pop(body["member"], None)
            self._deal(group)
        return 200, {}

    async def _log_owners(self, request):
        group = self.groups.get(request.query["group"])
        if not group:
            return 200, {"parts": []}
        self._deal(group)
        return 200, {"parts": [[topic, part, name, 0] for topic, part, name in self._rows(group)]}


class Run:
    """A task at work. One whose work has no end (`math.inf`) is a task that lasts."""

    def __init__(self, task, number, work_s):
        self.task = task
        self.number = number
        self.work_s = work_s
        self.ends = time.monotonic() + work_s

    def percent(self, now):
        if math.isinf(self.work_s):
            return 100
        return max(0, min(99, int(100 * (1 - (self.ends - now) / self.work_s))))


class Executor:
    """One executor. It starts whatever it is told to start (`enforces_capacity` false)."""

    def __init__(self, world, name, address, zone="harju-a", cpu=32000, mem_mb=131072,
                 labels=("std", "r1-1")):
        self.world = world
        self.record = world.record
        self.name = name
        self.address = address
        self.zone = zone
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.labels = list(labels)
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.running = {}
        self.ended = []
        self.last_number = 0
        self.highest_closed = {}
        self.token = 0
        self.deadline_ms = None
        # Times at which the lease was over, whether anything ran or not.
        self.lapses = []
        self.up = True
        self.rejected_old = 0
        self.cut_from = None
        self.changed = asyncio.Event()
        self.seq = 0
        self.listener = HttpListener(self.handle)
        self.quiet_log = False

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        await self.listener.start(host, int(port))
        self.publish()
        asyncio.ensure_future(self._beat())
        asyncio.ensure_future(self._advance())

    def publish(self):
        self.seq += 1
        self.world.store.put("keyed.servers", self.name, {
            "service": self.world.service, "address": self.address, "zone": self.zone,
            "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "seq": self.seq, "capacity": self.capacity, "labels": self.labels,
            "born": self.born})

    async def crash(self):
        """Ends for good. The entry is removed after three ping intervals of silence."""
        self.record.write(f"{self.name}: crashes and is gone for good")
        self.up = False
        self.listener.close()
        for run in list(self.running.values()):
            self.world.ends.append((time.monotonic(), run.task, run.number, self.name, "crash"))
        self.running.clear()
        await asyncio.sleep(4.5)
        self.world.store.drop("keyed.servers", self.name)
        self.record.write(f"{self.name}: entry removed")

    async def _beat(self):
        while True:
            await asyncio.sleep(1.5)
            if self.up and not self.world.store.down:
                self.publish()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    async def _advance(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            lapsed = self.deadline_ms is not None and self.clock_ms() >= self.deadline_ms
            if lapsed and (not self.lapses or self.lapses[-1][1] != self.deadline_ms):
                self.lapses.append((now, self.deadline_ms))
            for run in list(self.running.values()):
                if run.ends <= now:
                    self.end(run, "done")
                elif lapsed:
                    self.end(run, "lapsed")

    def end(self, run, how):
        del self.running[run.task, run.number]
        self.last_number += 1
        self.ended.append([self.last_number, run.task, run.number, how, ""])
        self.highest_closed[run.task] = max(self.highest_closed.get(run.task, 0), run.number)
        self.world.on_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def _grant(self, body):
        if "deadline_ms" in body:
            limit = self.clock_ms() + BOUNDS["max_hold_ms"]
            wanted = min(body["deadline_ms"], limit)
            self.deadline_ms = max(self.deadline_ms or 0, wanted)

    def _answer(self, status, **fields):
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    async def handle(self, request):
        body = request.json()
        token = body.get("fencing_token", 0)
        # Behind a partition the call never arrives.
        if self.cut_from is not None and self.cut_from(token):
            return None
        expected = request.headers.get("expected-instance")
        if expected is not None and expected != self.name:
            return self._answer(421)
        if token < self.token:
            self.record.write(f"{self.name}: {request.path} with token {token} fenced")
            return self._answer(409, reason="fence")
        if token > self.token:
            self.record.write(f"{self.name}: first call with token {token}")
        self.token = token
        call = request.path.rsplit("/", 1)[-1]
        if call == "run-start":
            return self._run_start(body)
        if call == "run-stop":
            return self._run_stop(body)
        if call == "hold":
            return await self._hold(body)
        if call == "pace":
            return self._answer(200)
        return 404, {}

    def _run_start(self, body):
        key = (body["task"], body["run_id"])
        if key in self.running:
            self._grant(body)
            return self._answer(200)
        if body["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._grant(body)
        if body["run_id"] <= self.highest_closed.get(body["task"], 0):
            self.rejected_old += 1
            return self._answer(409, reason="old")
        run = Run(body["task"], body["run_id"], self.world.work_s(body))
        self.running[key] = run
        self.world.on_start(self, run, body)
        return self._answer(200)

    def _run_stop(self, body):
        key = (body["task"], body["run_id"])
        if key in self.running:
            self.end(self.running[key], "stopped")
        else:
            self.highest_closed[body["task"]] = max(
                self.highest_closed.get(body["task"], 0), body["run_id"])
        return self._answer(200)

    async def _hold(self, body):
        self._grant(body)
        seen = body.get("last_seen", 0)
        noted = [row for row in self.ended if row[0] <= seen]
        if noted:
            self.ended = [row for row in self.ended if row[0] > seen]
            self.world.on_noted(self, noted)
        if body.get("wait_ms") and not self.ended:
            try:
                await asyncio.wait_for(self.changed.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        if self.cut_from is not None and self.cut_from(body.get("fencing_token", 0)):
            return None
        now = time.monotonic()
        running = []
        for run in self.running.values():
            percent = run.percent(now)
            running.append([run.task, run.number, "", percent, 100])
        return self._answer(200, running=running, ended=self.ended[:500])


class PolicyService:
    """The service at `advice`. It approves all executors, and handles one call at a time for each
    calling machine."""

    def __init__(self, decision_ms, per_worker_ms):
        self.decision_ms = decision_ms
        self.per_worker_ms = per_worker_ms
        self.calls = {}

    def handler(self, node):
        lock = asyncio.Lock()
        waiting = 0

        async def handle(request):
            nonlocal waiting
            body = request.json()
            if waiting >= 32:
                return 429, {}
            waiting += 1
            try:
                async with lock:
                    await asyncio.sleep((self.decision_ms + self.per_worker_ms *
                                         len(body["workers"])) / 1000)
            finally:
                waiting -= 1
            self.calls[node] = self.calls.get(node, 0) + 1
            return 200, {"approved": [[worker, f"t-{body['step']}-{worker}"]
                                      for worker in body["workers"]]}
        return handle


class World:
    """The platform, the executors and the processes of the system of one case."""

    service = "ledger"
    host = "queue.example"
    policy = None

    def __init__(self, folder, nodes, executors, labels=lambda index: ("std", "r1-1")):
        """`labels(index)` gives the labels of an executor: its kind and its rack."""
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.block = random.randrange(16, 240)
        self.node_names = [f"edge-{i + 1}" for i in range(nodes)]
        self.processes = {}
        self.executor_count = executors
        self.labels = labels
        self.executors = []
        self.starts = []
        self.ends = []
        # Time at which `last_seen` reached the end of a run: (executor, task, run) -> time.
        self.noted = {}
        self.quiet_runs = False
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.version = 0

    # --- hooks of the executors ---
    def work_s(self, body):
        raise NotImplementedError

    def on_start(self, executor, run, body):
        self.starts.append((time.monotonic(), run.task, run.number, executor.name))
        if not self.quiet_runs:
            self.record.write(f"{executor.name}: starts {run.task} run {run.number} "
                              f"(token {body['fencing_token']})")

    def on_end(self, executor, run, how):
        self.ends.append((time.monotonic(), run.task, run.number, executor.name, how))
        if not self.quiet_runs:
            self.record.write(f"{executor.name}: {run.task} run {run.number} ends {how}")

    def on_noted(self, executor, rows):
        for row in rows:
            self.noted[executor.name, row[1], row[2]] = time.monotonic()

    def restarts_after_done(self):
        """Starts of tasks of which an earlier run had ended `done`, as the rule TWICE counts them:
        the end was taken note of, and the executor's lease did not lapse in between."""
        done = {}
        for at, task, number, name, how in self.ends:
            noted = self.noted.get((name, task, number))
            executor = next(e for e in self.executors if e.name == name)
            if how != "done" or noted is None:
                continue
            if any(at <= lapse <= noted for lapse, _ in executor.lapses):
                continue
            done.setdefault(task, (at, number, name))
        return [(task, done[task], (at, number, name)) for at, task, number, name in self.starts
                if task in done and done[task][0] < at]

    def zone_of(self, index):
        """Zone of the process or executor with this index; regions are named like their zones."""
        return "harju-a"

    async def watch_idle(self, paths, seconds):
        """Returns the paths of the jobs of which no task was ever started, and how many tasks were
        at most at work on all executors within the next `seconds`."""
        busiest = 0
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            busiest = max(busiest, sum(len(e.running) for e in self.executors if e.up))
            await asyncio.sleep(0.05)
        started = {row[1].split(".")[0] for row in self.starts}
        return [path for path in paths if path.rsplit("/", 1)[1] not in started], busiest

    async def count_states(self, paths):
        counts = {}
        for path in paths:
            key = f"{path.split('/')[1]} {await self.state(path)}"
            counts[key] = counts.get(key, 0) + 1
        return counts

    # --- start and end ---
    def address_of(self, index):
        return f"127.{self.block}.1.{index + 1}"

    def free_port(self, host):
        with socket.socket() as probe:
            probe.bind((host, 0))
            return probe.getsockname()[1]

    async def start(self, routes):
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        run_line = shlex.split(command["roles"]["control"]["run"])
        if not (ROOT / run_line[0]).exists():
            raise CannotRun(f"{run_line[0]} is missing: run the build of deploy/system.toml first")
        self.routes = routes
        self.set_config(routes)
        for i in range(self.executor_count):
            host = f"127.{self.block}.2.{i + 1}"
            executor = Executor(self, f"w{i + 1}", f"{host}:{self.free_port(host)}",
                                zone=self.zone_of(i), labels=self.labels(i))
            await executor.start()
            self.executors.append(executor)
        self.ports = {name: self.free_port(self.address_of(0))
                      for name in ("front", "ready", "control", "internal")}
        for i, name in enumerate(self.node_names):
            store_host = f"127.{self.block}.3.{i + 1}"
            store_port = self.free_port(store_host)
            await HttpListener(self.store.handler(name)).start(store_host, store_port)
            advice = ""
            if self.policy:
                advice = f"{store_host}:{self.free_port(store_host)}"
                await HttpListener(self.policy.handler(name)).start(*advice.split(":"))
            self.write_settings(i, name, f"{store_host}:{store_port}", advice)
        self.run_line = run_line
        for name in self.node_names:
            self.start_process(name)
        await self.wait_ready()

    def set_config(self, routes):
        self.version += 3
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": self.service, "enforces_capacity": False}],
            "limits": {"max_body_bytes": 262144}})
        self.record.write(f"operator: config {self.version} acknowledged, routes "
                          f"{[route['name'] for route in routes]}")

    def write_settings(self, i, name, store_address, advice):
        ip = self.address_of(i)
        settings = {
            "node": name, "role": "control", "machine_class": "edge", "serves": ["edge"],
            "ip": ip, "zone": self.zone_of(i), "region": self.zone_of(i)[:-2],
            "zones": {"harju-a": "harju", "tartu-a": "tartu"},
            "listen_addrs": {port: f"{ip}:{self.ports[port]}"
                             for port in ("front", "ready", "control")},
            "internal_ports": [self.ports["internal"], self.ports["internal"]],
            "seed_nodes": [], "bootstrap": True, "counts_as_loss": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "orders": "call", "advice": advice,
            "platform": {"address": store_address, **STORE_LIMITS},
            "cloud_api": {"address": "", "rate_per_s": 60.0, "duties": [], "duty_per_s": 60.0}}
        path = pathlib.Path(self.temporary.name) / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))

    def start_process(self, name):
        folder = pathlib.Path(self.temporary.name)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["SYCAMOREHINGE_NODE_FILE"] = str(folder / f"{name}.json")
        # A pipe would have to be drained; the log file is deleted at the end with the folder.
        log = open(folder / f"{name}.log", "wb")
        self.processes[name] = subprocess.Popen(
            [str(ROOT / self.run_line[0]), *self.run_line[1:]], cwd=ROOT, env=environment, stdout=log,
            stderr=subprocess.STDOUT)
        self.record.write(f"{name}: started")

    async def wait_ready(self):
        give_up = time.monotonic() + 20
        for i, name in enumerate(self.node_names):
            while True:
                status, _ = await self.call_address(
                    f"{self.address_of(i)}:{self.ports['ready']}", "GET", "/sycamorehinge/ready",
                    None, 2.0)
                if status == 200:
                    break
                if time.monotonic() > give_up or self.processes[name].poll() is not None:
                    raise CannotRun(f"{name} does not become ready")
                await asyncio.sleep(0.1)
        while not self.owner():
            if time.monotonic() > give_up:
                raise CannotRun("no process owns the cell")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)

    def owner(self):
        """The node of the newest claim in the directory."""
        newest = self.store.partition("keyed.sycamorehinge.directory", 0).newest.get(b"owner")
        if newest is None:
            return None
        text = newest[0].decode()
        return next((name for name in self.node_names if f"|{name}|" in text), None)

    async def finish(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary.name, keep, dirs_exist_ok=True)
        self.temporary.cleanup()
        self.record.close()

    # --- calls of the clients ---
    async def call_address(self, address, method, path, body, timeout, headers=()):
        host, port = address.rsplit(":", 1)

        async def exchange():
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            try:
                data = b"" if body is None else json.dumps(body).encode()
                head = [f"{method} {path} HTTP/1.1", f"Host: {self.host}",
                        "Content-Type: application/json", f"Content-Length: {len(data)}",
                        *headers]
                writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
                line = await reader.readline()
                if not line:
                    return None, b""
                status = int(line.split()[1])
                length = 0
                while True:
                    line = await reader.readline()
                    if line in (b"\r\n", b""):
                        break
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                return status, await reader.readexactly(length)
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None, b""

    async def call(self, node, method, path, body=None, limit_ms=3000, quiet=False,
                   leave_ms=None):
        """A consumer's call at the front address of a node; status None means no answer. The
        consumer closes the channel at its time limit, or after `leave_ms`."""
        address = f"{self.address_of(self.node_names.index(node))}:{self.ports['front']}"
        status, answer = await self.call_address(address, method, path, body,
                                                 (leave_ms or limit_ms) / 1000,
                                                 [f"Deadline-Ms: {limit_ms}"])
        if not quiet:
            text = answer[:200].decode("latin-1")
            self.record.write(f"client at {node}: {method} {path} -> {status} {text}")
        return status, answer

    async def submit(self, path, body, tries=8, quiet=False):
        """Hands a job in as a consumer does: again after no answer, 502 or 504, and after 503."""
        for attempt in range(tries):
            node = self.node_names[attempt % len(self.node_names)]
            status, _ = await self.call(node, "POST", path, body, quiet=quiet)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, path, quiet=True):
        for node in self.node_names:
            status, answer = await self.call(node, "GET", path, quiet=quiet)
            if status == 200:
                return json.loads(answer)["state"]
            if status == 410:
                return "unknown"
        return None


def route(name, prefix, **options):
    return {"name": name, "host": World.host, "path_prefix": prefix, "service": World.service,
            "priority": 1, "max_attempts": 3, "stretch": 2, "target_latency_ms": 3000,
            "timeout_ms": 3000, **options}


def run_case(make_world, play):
    """Plays a case. `play(world)` returns a list of broken rules; the exit status tells."""
    async def body():
        world = make_world()
        # Connections that are still open at the end need no message.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        # The processes are ended also if the script is.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            broken = await asyncio.wait_for(play(world), 115)
        except CannotRun as problem:
            world.record.write(f"cannot run: {problem}")
            print(f"cannot run: {problem}")
            return 2
        except (asyncio.CancelledError, asyncio.TimeoutError):
            print("cannot run: the script was ended or took too long")
            return 2
        finally:
            await world.finish()
        for line in broken:
            print(line)
        return 1 if broken else 0

    try:
        status = asyncio.run(body())
    except (OSError, asyncio.TimeoutError) as problem:
        print(f"cannot run: {type(problem).__name__} {problem}")
        status = 2
    sys.stdout.flush()
    # Skips the destructors of tasks that wait for calls behind a partition.
    os._exit(status)
