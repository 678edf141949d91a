"""Stand-ins for a case of the review: platform, endpoints, clients, and the courier's process.

Python's standard library only. All addresses are loopback addresses, all ports are free ones, and
all files but record.txt lie in a temporary folder that is removed at the end.
"""

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
CLIENT_TIMEOUT_S = 0.4
HEARTBEAT_S = 2.0


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def command(name):
    """Returns a command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith(name + ' = "'):
                return line.split(" = ", 1)[1].strip()[1:-1]
    raise CannotRun("deploy/balancer.toml has no " + name)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def now():
    return time.monotonic()


def settings(classes, kinds=None, me=0, balancers=2, calls_out=8, max_open=140):
    """The settings of a small deployment, with the names and units of the wire page."""
    kinds = kinds or [("supplier", 5, False), ("installer", 1, False)]
    return {
        "balancers": balancers,
        "classes": classes,
        "clients": {"marks_retry": True},
        "costs": {"connection": 0.0, "cross_zone": 0.03, "discovery": 0.0, "handshake": 0.04,
                  "late_fail": 0.03, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01,
                  "waste": 0.08},
        "discovery": "on_request",
        "extra": {"calls_out": calls_out, "carriage": [0.0, 0.0], "fades": "linear",
                  "per_call": [kind[1] for kind in kinds], "refusal_cost": 0.05,
                  "routes_apart": [kind[2] for kind in kinds]},
        "family": "deliver",
        "feedback": {"fields": [], "how": "none"},
        "flavors": [kind[0] for kind in kinds],
        "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "guarantees": {"cold": 9000000, "cold_from": 0.22, "fall": 3000000,
                       "grace_to_answer": 20000, "must_ask_in": 10000000,
                       "stop_sending_within": 2000000, "tip_multiple": 2.0},
        "limits": {"cancel": True, "connect_timeout": 1000000, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 524999, "idle_close": 10000000, "max_open": max_open,
                   "max_retry_after": 2000000, "may_probe": True, "may_tell": False,
                   "most_tries": 12, "multiplex": 1, "parallel_tries": False,
                   "retry_after": True},
        "localities": ["east-building", "west-building"],
        "me": me,
        "my_zone": "east-building",
        "over_share_worth": 0.1,
        "step": 5000,
        "tenants": [],
        "tier": 0,
        "tiers": ["partners"],
        "value_by": "request",
        "weights": "nominal",
    }


def keyed(name="tariff-order", deadline_ms=16000, target_ms=4000, window_ms=10000):
    return {"deadline": deadline_ms * 1000, "dedup_window": window_ms * 1000, "effect": "token",
            "group": "all", "late_worth": 0.5, "name": name, "points": 1.0, "stream": False,
            "target": target_ms * 1000}


def safe(name="schedule-update", deadline_ms=5000, target_ms=1000):
    return {"deadline": deadline_ms * 1000, "dedup_window": deadline_ms * 1000, "effect": "pure",
            "group": "all", "late_worth": 0.0, "name": name, "points": 2.0, "stream": False,
            "target": target_ms * 1000}


def unsafe(name="door-command", deadline_ms=16000, target_ms=4000):
    return {"deadline": deadline_ms * 1000, "dedup_window": deadline_ms * 1000,
            "effect": "side_effect", "group": "all", "late_worth": 0.5, "name": name,
            "points": 1.0, "stream": False, "target": target_ms * 1000}


async def read_head(reader):
    """Reads a request or status line and headers; returns None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class Platform:
    """Discovery and the address for notices. One list for all couriers of a case."""

    def __init__(self, case):
        self.case = case
        self.hosts = {}
        self.seq = 41
        self.log = []
        self.watches = set()
        self.up = True
        self.connections = set()
        self.server = None
        self.port = None
        self.notices = []

    def add(self, host, port, block, kind="supplier", site="east-building", share=10.0,
            health="Ready", born_ms=0):
        self.hosts[host] = {"host": host, "dial": "127.0.0.1:%d" % port, "site": site,
                            "class": kind, "block": block, "health": health, "share": share,
                            "born_ms": born_ms}

    def whole(self):
        return {"seq": self.seq, "whole": True,
                "hosts": [host for host in self.hosts.values() if host["health"] != "Gone"]}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def change(self, host, health):
        """Changes an entry; open watches are told at once."""
        entry = dict(self.hosts[host], health=health)
        self.hosts[host] = entry
        self.seq += 1
        self.log.append((self.seq, entry))
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": [entry]}) + "\n"
        for writer in list(self.watches):
            self.chunk(writer, line)
        self.case.record("list", host=host, health=health, seq=self.seq,
                         watches=len(self.watches))

    def go_down(self):
        """Discovery goes down: watches end, calls get 503. Notices are still answered."""
        self.up = False
        for writer in list(self.watches):
            writer.transport.abort()
        self.watches.clear()
        self.case.record("discovery down")

    def come_back(self):
        self.up = True
        self.case.record("discovery up")

    @staticmethod
    def chunk(writer, text):
        data = text.encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if method == "POST" and path == "/v1/outcomes":
                    for text in body.decode().splitlines():
                        notice = json.loads(text)
                        self.notices.append((now(), notice))
                        self.case.on_notice(notice)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif not self.up:
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                elif path == "/discovery/hosts":
                    text = json.dumps(self.whole()).encode()
                    self.case.record("list asked", seq=self.seq)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                else:
                    await self.watch(path, writer)
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    async def watch(self, path, writer):
        after = int(path.split("after=")[1].split("&")[0]) if "after=" in path else -1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if after < 41 or after > self.seq:
            first = self.whole()
        else:
            changed = {entry["host"]: entry for seq, entry in self.log if seq > after}
            first = {"seq": self.seq, "whole": False, "hosts": list(changed.values())}
        self.chunk(writer, json.dumps(first) + "\n")
        self.watches.add(writer)
        self.case.record("watch opened", after=after, seq=self.seq)
        while writer in self.watches and not writer.is_closing():
            await asyncio.sleep(HEARTBEAT_S)
            if writer in self.watches and not writer.is_closing():
                self.chunk(writer, "\n")
                await writer.drain()


class Call:
    """One call as its endpoint reads it."""

    def __init__(self, endpoint, ids, keys, body, headers, first_byte):
        self.endpoint = endpoint
        self.ids = ids
        self.keys = keys
        self.body = body
        self.headers = headers
        self.first_byte = first_byte
        self.came = now()


class Endpoint:
    """An endpoint; `handle(call)` is a coroutine that returns (status, headers) or None for silence."""

    def __init__(self, case, name, handle):
        self.case = case
        self.name = name
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def crash(self):
        """The process dies: connections are reset, and new ones refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first = await reader.read(1)
                if not first:
                    return
                began = now()
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                if "/inbox/bulk" in line:
                    items = json.loads(body)
                    call = Call(self, [item["id"] for item in items],
                                [item.get("key") for item in items], body, headers, began)
                elif "/inbox" in line:
                    call = Call(self, [headers.get("x-request-id")],
                                [headers.get("idempotency-key")], body, headers, began)
                else:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                call.bulk = "/inbox/bulk" in line
                call.writer = writer
                answer = await self.handle(call)
                if answer is None:
                    # Silence: nothing is answered, and the connection stays open.
                    await reader.read()
                    return
                status, extra = answer
                text = b""
                if call.bulk and status == 200:
                    text = json.dumps([{"id": each, "state": "accepted"} for each in call.ids]).encode()
                    extra = dict(extra)
                head_text = "HTTP/1.1 %d X\r\n" % status
                for name, value in extra.items():
                    head_text += "%s: %s\r\n" % (name, value)
                writer.write(head_text.encode() + b"Content-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Courier:
    """A courier's process, started by `run` of the deploy file."""

    def __init__(self, case, name, platform, its_settings, operator=False, known=None):
        self.case = case
        self.name = name
        self.platform = platform
        self.settings = its_settings
        self.port = free_port()
        self.folder = os.path.join(case.folder, name)
        self.state = os.path.join(self.folder, "state")
        os.makedirs(self.state)
        self.operator = operator
        self.operator_port = None
        self.known = known
        self.starts = 0
        self.process = None

    async def start(self):
        """Starts a process, which becomes `self.process`; returns once it is ready."""
        self.starts += 1
        if self.operator:
            self.operator_port = free_port()
        tmp = os.path.join(self.folder, "tmp%d" % self.starts)
        os.makedirs(tmp)
        listen = "127.0.0.1:%d" % self.port
        discovery = "127.0.0.1:%d" % self.platform.port
        config = {"name": self.name, "listen": listen, "discovery": discovery,
                  "seed": secrets.token_hex(8),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
                  "known": self.known or self.platform.whole(), "settings": self.settings}
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        environment = {key: value for key, value in os.environ.items()
                       if not key.startswith("PROXY_")}
        environment.update(PROXY_NAME=self.name, PROXY_LISTEN=listen, PROXY_DISCOVERY=discovery,
                           PROXY_STATE=self.state, PROXY_CONFIG=path, TMPDIR=tmp)
        if self.operator:
            environment["PROXY_OPERATOR"] = "127.0.0.1:%d" % self.operator_port
        log = open(os.path.join(self.case.case_folder,
                                "courier-%s-%d.log" % (self.name, self.starts)), "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command("run"), cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.case.processes.append(self.process)
        self.case.record("courier started", name=self.name, pid=self.process.pid)
        port = self.operator_port if self.operator else self.port
        path = "/-/ready" if self.operator else "/up"
        began = now()
        while True:
            if self.process.returncode is not None:
                raise CannotRun("courier %s ended with %s" % (self.name, self.process.returncode))
            if await get_status(port, path) == 200:
                break
            if now() - began > 30:
                raise CannotRun("courier %s is not ready" % self.name)
            await asyncio.sleep(0.02)
        self.case.record("courier ready", name=self.name, after_ms=int(1000 * (now() - began)))
        return self.process

    def signal(self, number, process=None):
        process = process or self.process
        self.case.record("signal", name=self.name, pid=process.pid,
                         signal=signal.Signals(number).name)
        process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()


async def get_status(port, path):
    """One HTTP call on a connection of its own; returns the status, or None."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(("GET %s HTTP/1.1\r\nHost: courier\r\nConnection: close\r\n\r\n" % path).encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        return int(head[0].split(" ")[1]) if head else None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


class Message:
    def __init__(self, dest, klass, timeout_ms, key=None, body=b"{}", retried=None):
        self.id = secrets.token_hex(8)
        self.dest = dest
        self.klass = klass
        self.timeout_ms = timeout_ms
        self.key = key
        self.body = body
        self.retried = retried
        self.sent = None
        self.status = None


class Client:
    """A client: one request at a time on each connection, kept; it waits 400 ms for an answer."""

    def __init__(self, case, courier):
        self.case = case
        self.courier = courier
        self.idle = []

    async def hand_in(self, message):
        """Returns the status of the answer, or None if there was none in 400 ms."""
        headers = ["POST /%s HTTP/1.1" % message.klass, "Host: backend.local",
                   "X-Request-ID: " + message.id, "X-Priority-Class: " + message.klass,
                   "X-Timeout-Ms: %d" % message.timeout_ms, "Content-Length: %d" % len(message.body),
                   "X-Consignee: dest=%d" % message.dest]
        if message.key:
            headers.insert(5, "Idempotency-Key: " + message.key)
        if message.retried:
            headers.append("X-Retried: " + message.retried)
        request = ("\r\n".join(headers) + "\r\n\r\n").encode() + message.body
        for attempt in range(2):
            reused = bool(self.idle) and attempt == 0
            try:
                if reused:
                    reader, writer = self.idle.pop()
                else:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.courier.port)
                message.sent = message.sent or now()
                writer.write(request)
                head = await asyncio.wait_for(read_head(reader), CLIENT_TIMEOUT_S)
            except asyncio.TimeoutError:
                writer.close()
                self.case.record("client", id=message.id, answer="none in 400 ms")
                return None
            except OSError:
                head = None
            if head is None:
                if reused:
                    continue
                self.case.record("client", id=message.id, answer="connection ended")
                return None
            line, answer_headers = head
            message.status = int(line.split(" ")[1])
            await read_body(reader, answer_headers)
            if answer_headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            self.case.record("client", id=message.id, klass=message.klass, dest=message.dest,
                             key=message.key, retried=message.retried, answer=message.status,
                             retry_after=answer_headers.get("retry-after"))
            return message.status
        return None


class Case:
    """The frame of a case: record, temporary folder, processes, verdict."""

    def __init__(self, script):
        self.case_folder = os.path.dirname(os.path.abspath(script))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.began = now()
        self.record_file = open(os.path.join(self.case_folder, "record.txt"), "w", encoding="utf-8")
        self.broken = []

    def record(self, what, **fields):
        text = " ".join("%s=%s" % (key, value) for key, value in fields.items() if value is not None)
        self.record_file.write("%9.3f %s %s\n" % (now() - self.began, what, text))
        self.record_file.flush()

    def on_notice(self, notice):
        self.record("notice", **notice)

    def rule_broken(self, text):
        self.broken.append(text)
        self.record("RULE BROKEN:", text=text)

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(script, body, limit_s=115):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def main():
        case = Case(script)
        case.record("case", trouble=int(case.trouble))
        try:
            await asyncio.wait_for(body(case), limit_s)
        except (CannotRun, OSError, asyncio.TimeoutError) as failure:
            case.record("cannot run:", cause=repr(failure))
            print("cannot run: %r" % failure, file=sys.stderr)
            return 2
        finally:
            await case.end()
        for text in case.broken:
            print(text)
        case.record("verdict", broken=len(case.broken))
        return 1 if case.broken else 0

    code = asyncio.run(main())
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)   # all processes have ended; nothing is left to be done by finalizers
