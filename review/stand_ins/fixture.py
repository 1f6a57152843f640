"""Stand-ins for the cases of this review: the platform's store, runners, consumers, and the start of hosts.

All of them run in the process of the script; only the hosts, the project's own program, are separate processes. All
addresses are loopback addresses with free ports.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RULE_BROKEN, RULE_HELD, COULD_NOT_RUN = 1, 0, 2


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Returns free ports below those that the system gives to outgoing channels, so that none takes them meanwhile."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_head(reader):
    """Reads a start line and headers; returns None at the end of the channel."""
    line = (await reader.readline()).decode("latin-1").strip()
    if not line:
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode("latin-1").strip()
        if not header:
            return line, headers
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()


class Server:
    """HTTP/1.1 server; a subclass answers requests."""

    def __init__(self):
        self.channels = set()
        self.silent = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{self.port}"

    def silence_open_channels(self):
        """Open channels go silent for good, without a reset; new ones work."""
        self.silent = set(self.channels)
        return len(self.silent)

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if writer in self.silent:
                    await asyncio.sleep(3600)
                method, target, _ = line.split(" ", 2)
                if not await self.respond(method, target, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def send(self, writer, status, body=b"", headers=()):
        if writer in self.silent:
            await asyncio.sleep(3600)
        lines = [f"HTTP/1.1 {status} Status", *headers, f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode("latin-1") + body)
        await writer.drain()


class Store(Server):
    """The platform's store: a log with keyed topics."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Writes a record as the operator or a runner; the return is the acknowledgement."""
        key = key.encode()
        self.topics.setdefault(topic, []).append(bytes([len(key)]) + key + json.dumps(value).encode())
        async with self.changed:
            self.changed.notify_all()

    async def respond(self, method, target, headers, body, writer):
        path, _, text = target.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if part)
        await asyncio.sleep(0.004)
        records = self.topics.setdefault(query.get("topic", ""), [])
        if path == "/v1/log-newest":
            newest = {}
            for offset, record in enumerate(records):
                key, value = record[1:1 + record[0]], record[1 + record[0]:]
                newest[key] = {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
            page = {"items": list(newest.values()), "more_pages": False, "end": len(records)}
            await self.send(writer, 200, json.dumps(page).encode(), ["Content-Type: application/json"])
        elif path == "/v1/log-read":
            start = int(query["from"])
            end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while len(records) <= start and time.monotonic() < end:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
                    except asyncio.TimeoutError:
                        break
            await asyncio.sleep(0.004)
            data = struct.pack(">qq", len(records), 0)
            for record in records[start:]:
                data += struct.pack(">i", len(record)) + record
            await self.send(writer, 200, data)
        elif path == "/v1/log-append":
            if "at" in query and int(query["at"]) != len(records):
                await self.send(writer, 412, json.dumps({"end": len(records)}).encode())
                return True
            offset = len(records)
            while body:
                length = struct.unpack(">i", body[:4])[0]
                records.append(body[4:4 + length])
                body = body[4 + length:]
            async with self.changed:
                self.changed.notify_all()
            await self.send(writer, 200, json.dumps({"offset": offset, "end": len(records)}).encode())
        else:
            await self.send(writer, 404)
        return True


class Runner(Server):
    """A runner: reports itself to the store, answers reports and orders, and runs requests."""

    def __init__(self, record, store, identity, service, zone="zone-a", slots=64, model=None, run=None):
        super().__init__()
        self.record = record
        self.store = store
        self.identity = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.model = model
        self.run = run
        self.adapters = {}
        self.coming = {}
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.load_seconds = 0.25
        self.runs = []

    def models(self):
        if self.model is None:
            return []
        return [{"name": self.model, "version": 1, "adapters": [f"{name}@1" for name in sorted(self.adapters)]}]

    async def report_to_store(self):
        entry = {"upstream": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "batch_slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "stage": "colocated",
                 "models": self.models(), "sequence": self.sequence, "born": self.born}
        await self.store.put("keyed.servers", self.identity, entry)

    async def heartbeat(self):
        while True:
            await self.report_to_store()
            await asyncio.sleep(1.2)

    async def respond(self, method, target, headers, body, writer):
        if headers.get("target-instance", self.identity) != self.identity:
            await self.send(writer, 421, b"", [f"Instance-Id: {self.identity}"])
            return True
        if target == "/v1/report":
            state = {"stage": "colocated", "models": self.models(), "busy": False, "sequence": self.sequence,
                     "coming": [f"{self.model}/{name}@1" for name in sorted(self.coming)],
                     "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 232000, "handles": 0}
            await self.send(writer, 200, json.dumps(state).encode(), ["Content-Type: application/json"])
            return True
        if target == "/v1/order":
            await self.send(writer, self.order(json.loads(body)))
            return True
        return await self.run(self, method, target, headers, body, writer)

    def order(self, order):
        adapter = order.get("adapter")
        self.record.write(f"runner {self.identity} gets order {json.dumps(order)}")
        if "precondition" in order and order["precondition"] != self.sequence:
            return 409
        if adapter is None:
            return 200
        self.sequence += 1
        if order["op"] == "load":
            self.coming[adapter] = True
            asyncio.get_running_loop().create_task(self.load(adapter))
            return 202
        self.adapters.pop(adapter, None)
        return 200

    async def load(self, adapter):
        await asyncio.sleep(self.load_seconds)
        self.coming.pop(adapter, None)
        self.adapters[adapter] = True

    def has_run(self, request_id):
        self.runs.append(request_id)
        self.record.write(f"runner {self.identity} begins to run {request_id}")


class Hosts:
    """Hosts of the system: processes with the command of the deploy file."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = []

    def start(self, name, zone="zone-a"):
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        callers, ready, control, directory, peers, metrics = free_ports(6)
        settings = {
            "node_name": name, "role": "entry", "machine_class": "frontend", "serves": "frontend,control,directory",
            "ip": LOOPBACK, "zone": zone, "region": "region-a", "listen.frontend": f"{LOOPBACK}:{callers}",
            "listen.ready": f"{LOOPBACK}:{ready}", "listen.control": f"{LOOPBACK}:{control}",
            "listen.directory": f"{LOOPBACK}:{directory}", "internal_ports": f"{peers},{metrics}",
            "seeds": f"{LOOPBACK}:{control}", "bootstrap": "true", "limits.cpu_share": "0.75", "limits.cores": "1",
            "limits.memory_mb": "430", "limits.max_fds": "4100", "limits.link_mbps": "1000.0", "heartbeat_ms": "1200",
            "bounds.contact_ms": "3000", "bounds.drain_ms": "2000", "bounds.grace_s": "8",
            "bounds.loss_slack_ms": "200", "bounds.config_apply_ms": "2000", "bounds.budget_ratio": "0.2",
            "bounds.budget_window_s": "10", "bounds.budget_slack": "58", "bounds.lease_ms": "3000",
            "bounds.thaw_ms": "300", "bounds.version_ms": "5000", "bounds.ttl_max_s": "5",
            "provider.address": self.store.address, "provider.form": "log"}
        path = pathlib.Path(self.folder.name) / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "wb")
        process = subprocess.Popen(
            deploy["roles"]["entry"]["run"].split(), cwd=REPOSITORY, stdout=log, stderr=subprocess.STDOUT,
            env={**{key: os.environ[key] for key in ("PATH", "HOME", "JAVA_HOME", "LANG") if key in os.environ},
                 "BANYANSTAIR_SETTINGS": str(path)})
        process.name, process.callers, process.ready, process.directory = name, callers, ready, directory
        process.log = pathlib.Path(log.name)
        self.processes.append(process)
        self.record.write(f"host {name} is started")
        return process

    async def await_ready(self, seconds=20):
        end = time.monotonic() + seconds
        for process in self.processes:
            while True:
                if time.monotonic() > end or process.poll() is not None:
                    raise RuntimeError(f"host {process.name} is not ready: {process.log.read_text()[-2000:]}")
                try:
                    answer = await Channel(process.ready).exchange("GET", "/v1/ready", {}, b"", 1)
                    if answer.status == 200:
                        break
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    def stop(self):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()


class Answer:
    """An answer as far as it came; status 0 if the channel ended without one."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete = 0, {}, b"", False

    def __str__(self):
        return (f"status {self.status}, {len(self.body)} bytes, {'complete' if self.complete else 'NOT complete'}"
                + (f", {self.body.decode('latin-1')!r}" if self.status >= 400 else ""))


class Channel:
    """A consumer's channel to a host, kept for several requests."""

    def __init__(self, port):
        self.port = port
        self.writer = None

    async def exchange(self, method, target, headers, body, seconds):
        answer = Answer()
        try:
            await asyncio.wait_for(self._exchange(method, target, headers, body, answer), seconds)
        except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        return answer

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def _exchange(self, method, target, headers, body, answer):
        if self.writer is None:
            await self.open()
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await self.writer.drain()
        head = await read_head(self.reader)
        if head is None:
            return
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                size = int((await self.reader.readline()).strip() or b"?", 16)
                chunk = await self.reader.readexactly(size)
                await self.reader.readexactly(2)
                answer.body += chunk
                if size == 0:
                    break
        else:
            answer.body = await self.reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.complete = True


def run_case(case, folder):
    """Runs a case, ends all processes and exits with the code for its result."""

    async def main():
        record = Record(folder)
        store = Store(record)
        await store.start()
        hosts = Hosts(record, store)
        try:
            code = await asyncio.wait_for(case(record, store, hosts), 110)
        except Exception as error:  # any failure of the set-up means that the case could not run
            record.write(f"could not run: {error!r}")
            code = COULD_NOT_RUN
        finally:
            hosts.stop()
        record.write({RULE_BROKEN: "the rule was broken", RULE_HELD: "the rule held"}.get(code, "no result"))
        os._exit(code)

    asyncio.run(main())
