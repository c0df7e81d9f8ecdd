"""Stand-ins for the scripts of review/11 and up: the platform's store, backend
servers, clients, and a supervisor for the project's own gateway processes.

Everything runs on loopback addresses and the real clock. The stand-ins follow
the users' pages; where a page is silent they behave like a sound store, server
or client."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def say(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")


# ---------------------------------------------------------------- HTTP

class Broken(Exception):
    """The connection ended or the bytes are no message."""


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError,
            asyncio.LimitOverrunError) as error:
        partial = getattr(error, "partial", b"")
        raise Broken(f"no head ({type(error).__name__}, {len(partial)} bytes)")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body; a message without length or chunks has none here."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return body
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError,
            ValueError) as error:
        raise Broken(f"no whole body ({type(error).__name__})")


async def serve(host, port, handler):
    """Starts a server on a port (0: any free one). Returns it and its port."""
    server = await asyncio.start_server(handler, host, port, backlog=512)
    return server, server.sockets[0].getsockname()[1]


_given_ports = set()


def free_port(host="127.0.0.1"):
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port = probe.getsockname()[1]
        if port not in _given_ports:
            _given_ports.add(port)
            return port


# ---------------------------------------------------------------- the store

class Store:
    """The platform's metadata store: rows, transactions and feeds."""

    def __init__(self, tx_ms=5.0, answer_ms=4.0):
        self.rows = {}       # (table, part, key) -> (value in base64, ver)
        self.log = []        # (ver, table, part, key, value or None)
        self.times = []      # of the log's entries
        self.ver = 0
        self.era = 1
        self.is_down = False
        self.tx_ms = tx_ms
        self.answer_ms = answer_ms
        self.changed = asyncio.Event()
        self.port = None
        self.calls = {}

    async def start(self):
        self.server, self.port = await serve("127.0.0.1", 0, self._connection)

    def put(self, table, key, value, part=""):
        """A write of the operator or of a server."""
        text = json.dumps(value, separators=(",", ":"))
        self.ver += 1
        self._apply(table, part, key,
                    base64.b64encode(text.encode()).decode())

    def drop(self, table, key, part=""):
        self.ver += 1
        self._apply(table, part, key, None)

    def restore(self, seconds):
        """Comes back from a copy some seconds old. What the operator and the
        servers wrote is written again by them."""
        since = time.monotonic() - seconds
        kept = [e for e, at in zip(self.log, self.times) if at <= since]
        lost = [e for e, at in zip(self.log, self.times) if at > since]
        self.rows, self.log = {}, []
        times, self.times = self.times[:len(kept)], []
        self.ver = kept[-1][0] if kept else 0
        for ver, table, part, key, value in kept:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (value, ver)
            self.log.append((ver, table, part, key, value))
        self.times = times
        self.era += 1
        newest = {}
        for ver, table, part, key, value in lost:
            if table in ("op", "servers"):
                newest[(table, part, key)] = value
        for place, value in newest.items():
            self.ver += 1
            self._apply(*place, value)

    def _apply(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.ver)
        self.log.append((self.ver, table, part, key, value))
        self.times.append(time.monotonic())
        self.changed.set()
        self.changed = asyncio.Event()

    async def _connection(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, answer = await self._answer(method, target, body)
                answer.setdefault("ver", self.ver)
                answer["now_ms"] = now_ms()
                text = json.dumps(answer).encode()
                await asyncio.sleep(self.answer_ms / 1000)
                writer.write(
                    f"HTTP/1.1 {status} OK\r\nContent-Type: application/json"
                    f"\r\nStore-Era: {self.era}"
                    f"\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (Broken, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit
        split = urlsplit(target)
        query = {k: v[0] for k, v in
                 parse_qs(split.query, keep_blank_values=True).items()}
        name = f"{method} {split.path}"
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.is_down:
            return 503, {}
        if name == "POST /v1/rows-tx":
            return await self._transaction(json.loads(body))
        if name == "GET /v1/rows-get":
            return self._get(query)
        if name == "GET /v1/rows-feed":
            return await self._feed(query)
        if name == "GET /v1/rows-parts":
            parts = sorted({p for t, p, _ in self.rows if t == query["table"]})
            return 200, {"parts": parts, "has_more": False}
        return 404, {}

    async def _transaction(self, call):
        await asyncio.sleep(self.tx_ms / 1000)
        place = lambda e: (e["table"], e.get("part", ""), e["key"])
        entries = call.get("puts", []) + call.get("remove", [])
        if any(e["table"] in ("op", "servers") for e in entries):
            return 403, {}
        for entry in call.get("expected", []):
            known = self.rows.get(place(entry), (None, 0))[1]
            if known != entry["ver"]:
                found = [self._row(place(e)) for e in call["expected"]
                         if place(e) in self.rows]
                return 412, {"rows": found}
        self.ver += 1
        for entry in call.get("puts", []):
            self._apply(*place(entry), entry["value"])
        for entry in call.get("remove", []):
            self._apply(*place(entry), None)
        return 200, {"ver": self.ver}

    def _row(self, place):
        value, ver = self.rows[place]
        return {"table": place[0], "part": place[1], "key": place[2],
                "value": value, "ver": ver}

    def _get(self, query):
        low, high = query.get("from", ""), query.get("to")
        places = sorted(
            (p for p in self.rows
             if p[0] == query["table"] and p[1] == query.get("part", "")
             and p[2] >= low and (high is None or p[2] < high)),
            key=lambda p: p[2].encode())
        limit = min(int(query.get("limit", "500")), 500)
        return 200, {"rows": [self._row(p) for p in places[:limit]],
                     "has_more": len(places) > limit}

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after > self.ver:
                return 410, {}
            news = [e for e in self.log
                    if e[0] > after and e[1] == query["table"]]
            left = until - time.monotonic()
            if news or left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for ver, table, part, key, value in news:
            row = {"table": table, "part": part, "key": key, "ver": ver}
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = value
            rows.append(row)
        return 200, {"rows": rows}


# ---------------------------------------------------------------- a server

class Server:
    """A replica of a plain service. It runs one request after the other on a
    connection, answers it with its seal and echoes the id."""

    def __init__(self, store, record, name, service, zone, slots=64,
                 work_ms=30, heartbeat_ms=1200, answer_bytes=800,
                 host="127.0.0.1"):
        self.store, self.record = store, record
        self.id, self.service, self.zone = name, service, zone
        self.slots, self.work_ms = slots, work_ms
        self.heartbeat_ms, self.answer_bytes = heartbeat_ms, answer_bytes
        self.host = host
        self.born = int(time.time() * 1000)
        self.seq_no = 0
        self.running = 0
        self.runs = []       # (id, time)
        self.state = "ready"

    async def start(self):
        self.server, self.port = await serve(self.host, 0, self._connection)
        self.beat = asyncio.create_task(self._heartbeat())

    async def _heartbeat(self):
        while True:
            self.seq_no += 1
            self.store.put("servers", self.id, self.entry())
            await asyncio.sleep(self.heartbeat_ms / 1000)

    def entry(self):
        return {"service": self.service, "zone": self.zone, "version": "v1",
                "address": f"{self.host}:{self.port}", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0,
                "seq_no": self.seq_no, "born": self.born}

    async def _connection(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.answer(line, headers, body, writer):
                    return
        except (Broken, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def head(self, status, headers, length):
        text = f"HTTP/1.1 {status}\r\n"
        for name, value in headers.items():
            text += f"{name}: {value}\r\n"
        return (text + f"Content-Length: {length}\r\n\r\n").encode()

    def load(self):
        return f"{self.running},0,{self.slots}"

    async def answer(self, line, headers, body, writer):
        """Runs a request and answers it. Returns whether the connection goes
        on."""
        expected = headers.get("x-expect-instance", self.id)
        if expected != self.id:
            writer.write(self.head("421 Misdirected Request",
                                   {"X-Instance-Id": self.id}, 0))
            await writer.drain()
            return True
        attempt = headers.get("x-attempt-id", "")
        self.runs.append((attempt, time.monotonic()))
        self.record.say(f"run {self.id} {attempt}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
        return await self.send_answer(attempt, line, headers, writer)

    async def send_answer(self, attempt, line, headers, writer):
        writer.write(self.head("200 OK", self.marks(attempt),
                               self.answer_bytes) + self.text(attempt))
        await writer.drain()
        return True

    def marks(self, attempt):
        return {"X-Attempt-Id": attempt, "X-Response-Seal": f"{self.id}.{attempt}",
                "X-Server-Load": self.load()}

    def text(self, attempt):
        return (f"{self.id} {attempt} " * self.answer_bytes)[
            :self.answer_bytes].encode()


# ---------------------------------------------------------------- an engine

class Engine(Server):
    """A model replica: it holds models, takes orders one after the other and
    streams its answers."""

    def __init__(self, *args, models=(), load_s=0.5, events=11, event_ms=20,
                 memory_mb=200000, model_mb=65000, lag_ms=200, **more):
        super().__init__(*args, **more)
        self.models = {name: [] for name in models}
        self.load_s, self.events, self.event_ms = load_s, events, event_ms
        self.memory_mb, self.model_mb = memory_mb, model_mb
        self.lag_ms = lag_ms
        self.sequence = 0
        self.busy = False
        self.orders = []     # (time, holder, fence, text, status)
        self.epoch = 0       # rises with each restart

    def held(self):
        return [{"name": name, "version": 1, "adapters": list(adapters)}
                for name, adapters in self.models.items()]

    def entry(self):
        return dict(super().entry(), stage="prefill_decode",
                    models=self.held())

    def restart(self):
        """A new process under the same id: it holds and knows nothing."""
        self.models, self.sequence, self.busy = {}, 0, False
        self.born = int(time.time() * 1000)
        self.seq_no = 0
        self.epoch += 1

    async def answer(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        if headers.get("x-expect-instance", self.id) != self.id:
            return await super().answer(line, headers, body, writer)
        if target == "/v1/report":
            text = json.dumps({
                "stage": "prefill_decode", "models": self.held(),
                "busy": self.busy, "seq_no": self.sequence, "queued": 0,
                "running": self.running, "kv_used": 0, "kv_total": 162655,
                "handles": 0, "born": self.born}).encode()
            writer.write(self.head("200 OK", {"Content-Type":
                                              "application/json"}, len(text))
                         + text)
            await writer.drain()
            return True
        if target == "/v1/order":
            order = json.loads(body)
            status = self.take(order)
            self.orders.append((time.monotonic(), order.get("holder"),
                                order.get("fence_token"),
                                f"{order['op_type']} {order['model']}"
                                f"/{order.get('adapter', '')}", status))
            self.record.say(f"order {self.id} {order} -> {status}")
            writer.write(self.head(f"{status} Order", {}, 0))
            await writer.drain()
            return True
        model, _, adapter = headers.get("x-model", "").partition("/")
        adapters = self.models.get(model)
        if adapters is None or (adapter and adapter not in adapters):
            writer.write(self.head("421 Misdirected Request",
                                   {"X-Instance-Id": self.id}, 0))
            await writer.drain()
            return True
        return await super().answer(line, headers, body, writer)

    def take(self, order):
        if "holder" not in order or "fence_token" not in order:
            return 400
        if self.busy and "adapter" not in order:
            return 409
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        name, adapter = order["model"], order.get("adapter")
        if adapter:
            held = self.models.get(name)
            if held is None:
                return 409
            there = adapter in held
            if there == (order["op_type"] == "load"):
                return 200
            (held.append if not there else held.remove)(adapter)
            self.sequence += 1
            return 202 if order["op_type"] == "load" else 200
        if (name in self.models) == (order["op_type"] == "load"):
            return 200
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self._carry_out(
            order["op_type"], name, self.epoch))
        return 202

    async def _carry_out(self, kind, name, epoch):
        await asyncio.sleep(self.load_s if kind == "load" else 0.05)
        if epoch != self.epoch:
            return
        if kind == "load":
            self.models[name] = []
        else:
            self.models.pop(name, None)
        self.busy = False
        self.store.put("servers", self.id, self.entry())

    async def send_answer(self, attempt, line, headers, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in self.marks(attempt).items():
            head += f"{name}: {value}\r\n"
        head += "X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# ---------------------------------------------------------------- the gateway

def render(text, fields):
    """Fills in the template of the deploy file."""
    def find(name, scopes):
        if name == ".":
            return scopes[-1][0]
        if name == "@":
            return scopes[-1][1]
        parts = name.split(".")
        for value, _ in reversed(scopes):
            for part in parts:
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    break
            else:
                return value
        return None

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(show(v) for v in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def walk(text, scopes, is_last):
        out = ""
        while True:
            at = text.find("{{")
            if at < 0:
                return out + text
            end = text.index("}}", at)
            name = text[at + 2:end]
            out += text[:at]
            text = text[end + 2:]
            if name[0] in "#^":
                close = text.index("{{/" + name[1:] + "}}")
                inner = text[:close]
                text = text[close + len(name) + 4:]
                value = find(name[1:], scopes)
                if name[0] == "^":
                    if value is None or value is False:
                        out += walk(inner, scopes, True)
                elif isinstance(value, (dict, list)):
                    items = list(value.items() if isinstance(value, dict)
                                 else enumerate(value))
                    for n, (key, item) in enumerate(items):
                        out += walk(inner, scopes + [(item, key)],
                                    n == len(items) - 1)
                elif value is not None and value is not False:
                    out += walk(inner, scopes + [(value, "")], True)
            elif name == ",":
                out += "" if is_last else ","
            else:
                out += show(find(name, scopes))

    return walk(text, [(fields, "")], True)


BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000,
          "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8,
          "loss_slack_ms": 200, "config_apply_ms": 2500,
          "rollback_slack_ms": 250, "max_stretch_ms": 6000,
          "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56,
          "recover_s": 12, "pass_ms": 250, "retry_after_s": 0,
          "enforce_fencing": False, "lease_ms": 3000, "thaw_ms": 300,
          "ceiling_window_s": 5, "ceiling_over": 1.1}


class Gateway:
    """A process of the role `gateway` of the deploy file, with its settings
    from the template. It is started again when it ends by itself."""

    def __init__(self, record, folder, name, zone, zones, store_port,
                 host="127.0.0.1", bounds=None, cpu_share=0.25,
                 link_mbps=1000.0):
        self.record, self.folder, self.name = record, folder, name
        with open(os.path.join(REPO, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        self.command = role["run"].split(" ")
        with open(os.path.join(REPO, role["template"])) as file:
            self.template = file.read()
        self.host = host
        self.port, self.ready_port = free_port(host), free_port(host)
        self.peer_port = free_port(host)
        self.fields = {
            "node_name": name, "zone": zone, "region": zones[zone],
            "zones": zones, "ip": host,
            "listen": {"front": f"{host}:{self.port}",
                       "ready": f"{host}:{self.ready_port}"},
            "internal_port_range": [self.peer_port, 0],
            "bootstrap": True,
            "limits": {"cpu_share": cpu_share, "link_mbps": link_mbps,
                       "memory_mb": 260, "max_fds": 4100},
            "bounds": dict(BOUNDS, **(bounds or {})),
            "platform": {"address": f"127.0.0.1:{store_port}"}}
        self.path = os.path.join(folder, name + ".toml")
        self.process = None
        self.own_ends = []
        self.is_ending = False
        self.watch = None

    def write_settings(self):
        with open(self.path + ".new", "w") as file:
            file.write(render(self.template, self.fields))
        os.replace(self.path + ".new", self.path)

    def start(self):
        self.write_settings()
        self.fields["bootstrap"] = False
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            self.command, cwd=REPO, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log,
            env={"PATH": os.environ["PATH"], "LANG": "C.UTF-8",
                 "HOME": self.folder, "BARLEYFORK_SETTINGS": self.path})
        self.record.say(f"start {self.name} pid {self.process.pid}")
        if self.watch is None:
            self.watch = asyncio.create_task(self._supervise())

    async def _supervise(self):
        while True:
            await asyncio.sleep(0.02)
            if self.process.poll() is None or self.is_ending:
                continue
            self.own_ends.append(time.monotonic())
            self.record.say(f"ended by itself {self.name} with code "
                            f"{self.process.returncode}")
            await asyncio.sleep(1.0)
            if not self.is_ending:
                self.start()

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        self.is_ending = True
        if self.watch:
            self.watch.cancel()
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host,
                                                           self.ready_port)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, headers = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line + " "
        except (Broken, OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class LimitedGateway(Gateway):
    """The platform kills a process that exceeds `memory_mb`."""

    peak = 0.0

    async def watch_memory(self):
        while True:
            await asyncio.sleep(0.02)
            try:
                with open(f"/proc/{self.process.pid}/status") as file:
                    text = file.read()
                held = int(text.split("VmRSS:")[1].split()[0]) / 1024
            except (OSError, IndexError):
                continue
            self.peak = max(self.peak, held)
            if held > self.fields["limits"]["memory_mb"] and self.process.poll() is None:
                self.record.say(f"{self.name} holds {held:.0f} MB of "
                                f"{self.fields['limits']['memory_mb']}: killed")
                self.process.kill()
                await asyncio.sleep(0.5)



# ---------------------------------------------------------------- a client

class Connection:
    """A client's connection to a gateway, kept for many requests."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.exchanges = 0

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.gateway.host, self.gateway.port), 1)

    async def call(self, method, path, host, attempt, deadline_ms, body=b"",
                   headers=None):
        """Returns (status, headers, body). Raises Broken where the connection
        ends without a whole answer, and TimeoutError past the deadline."""
        text = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n")
        for name, value in (headers or {}).items():
            text += f"{name}: {value}\r\n"
        if body or method != "GET":
            text += f"Content-Length: {len(body)}\r\n"
        self.writer.write((text + "\r\n").encode() + body)

        async def answer():
            line, got = await read_head(self.reader)
            return int(line.split(" ")[1]), got, await read_body(self.reader,
                                                                 got)
        try:
            result = await asyncio.wait_for(answer(), deadline_ms / 1000 + 0.5)
        except (ConnectionError, OSError) as error:
            if isinstance(error, asyncio.TimeoutError):
                raise
            raise Broken(type(error).__name__)
        self.exchanges += 1
        return result

    def close(self):
        self.writer.close()


def attempt_id():
    return f"{random.getrandbits(64):016x}"


async def confirm_all_the_time(gateway, record, until, results, path, host):
    """A caller of an unsafe route, on a connection that it keeps. Appends
    (gateway, id, whether the connection was kept, end) to `results`."""
    connection = None
    while time.monotonic() < until:
        attempt = attempt_id()
        try:
            if connection is None:
                connection = Connection(gateway)
                await connection.open()
        except OSError:
            connection = None
            await asyncio.sleep(0.2)
            continue
        kept = connection.exchanges > 0
        try:
            status, headers, _ = await connection.call(
                "POST", path, host, attempt, 2000, b"x" * 200)
            end = str(status)
            if headers.get("connection", "").lower() == "close":
                connection.close()
                connection = None
        except Broken as error:
            end = f"closed without an answer: {error}"
            connection.close()
            connection = None
        except asyncio.TimeoutError:
            end = "no answer"
            connection.close()
            connection = None
        record.say(f"answer {gateway.name} {attempt} kept={int(kept)} {end}")
        results.append((gateway.name, attempt, kept, end))
        await asyncio.sleep(0.01)


def lost_requests(results, servers):
    """The requests that came on a kept connection and ran at a sound replica,
    and whose connection was closed without an answer."""
    ran = {attempt for server in servers for attempt, _ in server.runs}
    return [r for r in results
            if r[2] and r[3].startswith("closed") and r[1] in ran]


def run_case(main, folder):
    """Runs a case's coroutine main(record, scratch) and exits with 1 if the
    rule was broken, 0 if it held, 2 if the case couldn't run."""
    import shutil
    import tempfile
    import traceback
    scratch = tempfile.mkdtemp(prefix="review-")
    record = Record(os.path.join(folder, "record.txt"))
    code = 2
    try:
        code = asyncio.run(main(record, scratch))
    except Exception:
        record.say("the case couldn't run: " + traceback.format_exc())
        traceback.print_exc()
    finally:
        if os.environ.get("KEEP_LOGS"):
            print("logs:", scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    sys.exit(code)
