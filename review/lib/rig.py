"""Stand-ins for the review cases: platform, endpoints, clients, and the courier as a process.

Only the Python standard library is used. All addresses are loopback addresses. Everything that is
sent, answered and run is written to the record.
"""

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be carried out; nothing is said about the rule."""


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, who, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        line = f"{time.monotonic() - self.start:9.4f} {who:<10} {what} {text}".rstrip()
        self.file.write(line + "\n")
        self.file.flush()


def deploy_line(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith(key + " = "):
                return json.loads(line.split("=", 1)[1].strip())
    raise CannotRun("no " + key + " in the deploy file")


async def read_head(reader):
    """Reads a request or response head: first line and headers by lower-case name."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Platform:
    """Discovery and the receiver of notices, as the protocol page describes them."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.hosts = []
        self.seq = 1
        self.notices = []
        self.watchers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": self.hosts}

    def change(self, entries):
        """Tells all watches of changed entries, and keeps them for later lists."""
        self.seq += 1
        by_name = {host["host"]: host for host in self.hosts}
        for entry in entries:
            by_name[entry["host"]] = entry
        self.hosts = [host for host in by_name.values() if host["health"] != "Gone"]
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": entries}) + "\n"
        for writer in list(self.watchers):
            self.chunk(writer, line)
        self.record("platform", "list-change", entries=json.dumps(entries))

    @staticmethod
    def chunk(writer, text):
        data = text.encode()
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = line.split(" ")
                if method == "POST" and target == "/v1/outcomes":
                    for row in body.decode().splitlines():
                        if row.strip():
                            notice = json.loads(row)
                            self.notices.append((time.monotonic(), notice))
                            self.record("platform", "notice", **notice)
                    writer.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
                elif target.startswith("/discovery/hosts?"):
                    await self.watch(target, writer)
                    return
                else:
                    text = json.dumps(self.whole()).encode()
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def watch(self, target, writer):
        after = dict(p.partition("=")[::2] for p in target.split("?")[1].split("&")).get("after")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if after is None or int(after) != self.seq:
            self.chunk(writer, json.dumps(self.whole()) + "\n")
        self.watchers.add(writer)
        try:
            while True:
                self.chunk(writer, "\n")
                await writer.drain()
                await asyncio.sleep(2)
        finally:
            self.watchers.discard(writer)


class Call:
    """One call that an endpoint has received: its messages, as (id, key, body)."""

    numbers = itertools.count(1)

    def __init__(self, endpoint, bulk, messages, headers, writer):
        self.number = next(Call.numbers)
        self.endpoint = endpoint
        self.bulk = bulk
        self.messages = messages
        self.headers = headers
        self.writer = writer
        self.at = time.monotonic()

    def answer(self, status, headers=None, body=b""):
        """Writes an answer whose status holds for all messages of the call."""
        if self.bulk and status == 200:
            body = json.dumps(
                [{"id": message[0], "state": "accepted"} for message in self.messages]).encode()
        text = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
        self.endpoint.record(
            self.endpoint.name, "answers", call=self.number, status=status, headers=headers or {},
            ids=",".join(message[0] for message in self.messages))
        if status == 200:
            self.endpoint.answered += [message[0] for message in self.messages]
        self.writer.write(text.encode() + b"\r\n" + body)


class Endpoint:
    """An endpoint; `handle(call)` decides on each call. It runs in the order of arrival."""

    def __init__(self, record, name, block, handle, kind="installer", site="east-building"):
        self.record, self.name, self.block, self.handle = record, name, block, handle
        self.kind, self.site = kind, site
        self.port = free_port()
        self.calls = []
        self.answered = []  # the ids of messages that were answered 200

    def entry(self, health="Ready"):
        return {"host": self.name, "dial": f"{HOST}:{self.port}", "site": self.site,
                "class": self.kind, "block": self.block, "health": health, "share": 50.0,
                "born_ms": 0}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                bulk = line.startswith("POST /inbox/bulk ")
                if bulk:
                    messages = [(item["id"], item.get("key"), item["body"])
                                for item in json.loads(body)]
                else:
                    messages = [(headers.get("x-request-id"), headers.get("idempotency-key"), body)]
                call = Call(self, bulk, messages, headers, writer)
                self.calls.append(call)
                self.record(self.name, "call", number=call.number,
                            ids=",".join(message[0] for message in messages))
                result = self.handle(call)
                if asyncio.iscoroutine(result):
                    await result
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def request(message_id, class_name, dest, timeout_ms, key=None, body=b"x", retried=None):
    """The bytes of a client's request, in the form of the protocol page."""
    head = (f"POST /{class_name} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {message_id}\r\n"
            f"X-Priority-Class: {class_name}\r\nX-Timeout-Ms: {timeout_ms}\r\n")
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    if retried:
        head += f"X-Retried: {retried}\r\n"
    head += f"Content-Length: {len(body)}\r\nX-Consignee: dest={dest}\r\n\r\n"
    return head.encode() + body


class Client:
    """One kept connection of a client."""

    def __init__(self, record, name, port):
        self.record, self.name, self.port = record, name, port

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.record(self.name, "connected")
        return self

    async def submit(self, message_id, class_name, dest, timeout_ms, key=None, body=b"x",
                     retried=None):
        """Hands in a message and returns the status of the answer; None if there was none."""
        self.record(self.name, "hands-in", id=message_id, cls=class_name, dest=dest,
                    timeout_ms=timeout_ms, bytes=len(body), retried=retried or "no")
        self.writer.write(request(message_id, class_name, dest, timeout_ms, key, body, retried))
        try:
            line, headers = await asyncio.wait_for(read_head(self.reader), 0.4)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as e:
            self.record(self.name, "no-answer", id=message_id, why=type(e).__name__)
            self.writer.close()
            return None
        status = int(line.split(" ")[1])
        self.record(self.name, "is-answered", id=message_id, status=status)
        return status

    def close(self):
        self.writer.close()


def reset(sock):
    """Ends a connection as a close over unread bytes does: with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class World:
    """A small deployment: one courier with its folder, the platform and some endpoints."""

    def __init__(self, folder, settings=None, limits=None):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.state = os.path.join(self.tmp, "state")
        os.mkdir(self.state)
        self.platform = Platform(self.record)
        self.endpoints = []
        self.processes = []
        self.listen = free_port()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.limits.update(limits or {})
        self.settings = {
            "balancers": 1, "me": 0, "my_zone": "east-building",
            "localities": ["east-building", "west-building"],
            "family": "deliver", "discovery": "on_request", "weights": "nominal", "step": 5000,
            "classes": [
                {"name": "tariff-order", "effect": "token", "group": "all",
                 "dedup_window": 10000000, "target": 4000000, "deadline": 16000000,
                 "points": 1.0, "late_worth": 0.5, "stream": False},
                {"name": "schedule-update", "effect": "pure", "group": "all",
                 "dedup_window": 5000000, "target": 1000000, "deadline": 5000000,
                 "points": 2.0, "late_worth": 0.0, "stream": False},
                {"name": "meter-switch", "effect": "side_effect", "target": 4000000,
                 "deadline": 10000000, "points": 1.0, "late_worth": 0.5, "stream": False},
            ],
            "flavors": ["supplier", "installer"],
            "extra": {"calls_out": 16, "per_call": [5, 1], "routes_apart": [False, False],
                      "fades": "linear", "refusal_cost": 0.05, "carriage": [0.0, 0.0]},
            "feedback": {"how": "none", "fields": []},
            "guarantees": {"cold": 9000000, "cold_from": 0.22, "fall": 3000000,
                           "grace_to_answer": 20000, "must_ask_in": 10000000,
                           "stop_sending_within": 2000000, "tip_multiple": 2.0},
            "limits": {"cancel": True, "connect_timeout": 1000000, "idle_close": 10000000,
                       "max_open": 140, "max_retry_after": 2000000, "may_probe": True,
                       "may_tell": False, "most_tries": 12, "multiplex": 1,
                       "parallel_tries": False, "retry_after": True},
            "clients": {"marks_retry": True}, "tenants": [], "tier": 0, "tiers": ["partners"],
            "value_by": "request", "over_share_worth": 0.1,
        }
        self.settings.update(settings or {})

    async def endpoint(self, name, block, handle, **more):
        endpoint = Endpoint(self.record, name, block, handle, **more)
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.platform.hosts.append(endpoint.entry())
        return endpoint

    def write_config(self, discovery=None):
        config = {
            "name": "n1", "listen": f"{HOST}:{self.listen}",
            "discovery": discovery or self.platform.address, "seed": "8c1f30d27a5be964",
            "limits": self.limits, "known": self.platform.whole(), "settings": self.settings}
        path = os.path.join(self.tmp, "config.json")
        with open(path + ".next", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(path + ".next", path)
        return path

    async def start_courier(self, operator=None):
        """Starts the courier as the platform does, and returns once it takes clients."""
        environment = {
            "PATH": os.environ["PATH"], "TMPDIR": self.tmp, "PROXY_NAME": "n1",
            "PROXY_LISTEN": f"{HOST}:{self.listen}", "PROXY_DISCOVERY": self.platform.address,
            "PROXY_STATE": self.state, "PROXY_CONFIG": self.write_config()}
        if "JAVA_HOME" in os.environ:
            environment["JAVA_HOME"] = os.environ["JAVA_HOME"]
        if operator:
            environment["PROXY_OPERATOR"] = f"{HOST}:{operator}"
        log = open(os.path.join(self.folder, f"courier-{len(self.processes) + 1}.log"), "w")
        process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_line("run")], cwd=ROOT, env=environment, stdout=log,
            stderr=subprocess.STDOUT, start_new_session=True)
        self.processes.append(process)
        self.record("courier", "started", pid=process.pid)
        port, path = (operator, "/-/ready") if operator else (self.listen, "/up")
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if process.poll() is not None:
                raise CannotRun(f"the courier ended with {process.returncode} at its start")
            if await self.get(port, path) == 200:
                self.record("courier", "ready", pid=process.pid)
                return process
            await asyncio.sleep(0.02)
        raise CannotRun("the courier was not ready in 30 s")

    @staticmethod
    async def get(port, path):
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return int(line.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None

    def signal(self, process, number):
        self.record("courier", signal.Signals(number).name, pid=process.pid)
        process.send_signal(number)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)


def main(folder, case, **world):
    """Runs `case(world, trouble)`, which returns what broke the rule, and exits as the issue says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    for name in os.listdir(folder):
        if name.startswith("courier-") and name.endswith(".log"):
            os.remove(os.path.join(folder, name))
    made = World(folder, **world)

    async def run():
        await made.platform.start()
        return await case(made, trouble)

    try:
        broken = asyncio.run(asyncio.wait_for(run(), 110))
        verdict = "BROKEN" if broken else "HELD"
        made.record("judge", verdict, why=json.dumps(broken))
        print(verdict, *broken, sep="\n  ")
        code = 1 if broken else 0
    except (Exception, asyncio.TimeoutError) as e:  # whatever kept the case from running
        made.record("judge", "CANNOT-RUN", why=repr(e))
        print("CANNOT RUN", repr(e))
        code = 2
    finally:
        made.close()
    sys.exit(code)
