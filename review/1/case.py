"""A late second copy of a rejection is taken for the response to the same request, sent once more to that runner."""
import asyncio
import pathlib
import sys
import time
import zlib


FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))
sys.dont_write_bytecode = True
from fixture import RULE_BROKEN, RULE_HELD, TROUBLE, Channel, Hosts, Runner, Store, run_case  # noqa: E402

EXTRA_SHARE = 0.03  # of the answers of three runners in five, at most the dose of "garble, extra late" in the site file
TROUBLE_SECONDS = 5.0  # its length there
LOADS_AT_FULL_SPEED = 8  # adapters on their way from the weight store over all runners
LOAD_SECONDS = 0.25
RUNNERS = 5
GARBLING_RUNNERS = 3
ROUNDS = 5  # each with a new system, until a rejection was copied
RARE_ADAPTERS = 20  # asked for at once


class WeightStore:
    """An adapter takes 250 ms, longer in proportion while more than eight are on their way."""

    def __init__(self):
        self.coming = 0

    async def fetch(self):
        self.coming += 1
        left = LOAD_SECONDS
        before = time.monotonic()
        while left > 0:
            await asyncio.sleep(min(0.005, left))
            now = time.monotonic()
            left -= (now - before) / max(1.0, self.coming / LOADS_AT_FULL_SPEED)
            before = now
        self.coming -= 1


class ModelRunner(Runner):
    weight_store = None
    garbles = False

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, run=self.run_stream, **named)
        self.answers = 0
        self.extras = 0
        self.rejected = {}
        self.trouble_ends = 0.0

    async def load(self, adapter):
        await self.weight_store.fetch()
        self.coming.pop(adapter, None)
        self.adapters[adapter] = True

    def may_add_copy(self):
        return (TROUBLE and self.garbles and time.monotonic() < self.trouble_ends
                and self.extras + 1 <= EXTRA_SHARE * self.answers)

    async def run_stream(self, _, method, target, headers, body, writer):
        request_id = headers["request-id"]
        self.record.write(f"runner {self.identity} gets {request_id}")
        echo = f"Request-Id: {request_id}"
        if self.rejected.pop(writer, None) == request_id and self.may_add_copy():
            # The copy of the rejection arrives where the next response on this channel is expected.
            self.extras += 1
            self.record.write(f"runner {self.identity} sends its 421 for {request_id} a second time")
            await self.send(writer, 421, b"", [echo])
        self.answers += 1
        adapter = headers["model"].partition("/")[2]
        if adapter not in self.adapters:
            self.record.write(f"runner {self.identity} rejects {request_id} with 421, {adapter} is not loaded")
            self.rejected[writer] = request_id
            await self.send(writer, 421, b"", [echo])
            return True
        await asyncio.sleep(0.06)
        self.has_run(request_id)
        head = ["HTTP/1.1 200 OK", echo, "Response-Signature: signed", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(head).encode())
        for number in range(1, 14):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def play(record, round_number):
    """Plays one round with a new system; returns the extra answers and the requests that were run more than once."""
    store = Store(record)
    await store.start()
    hosts = Hosts(record, store)
    try:
        return await play_on(record, store, hosts, round_number)
    finally:
        hosts.stop()


async def play_on(record, store, hosts, round_number):
    await store.put("keyed.op", "config", {
        "version": 7,
        "routes": [{"name": "r-1", "host": "desk.example", "path_prefix": "/draft/", "route_type": "streaming",
                    "timeout_ms": 6000, "target_latency_ms": 1000, "priority": 1, "upstream": "assistant",
                    "max_attempts": 1, "session_affinity": True, "can_resume": False, "gap_aim_ms": 600}],
        "upstreams": [{"name": "assistant", "health_path": "/healthz", "max_connections": 370, "protocol": "h1",
                       "tls": False, "engine": {
                           "batch_slots": 64, "kv_capacity": 232000, "weights_mb": 74700.0, "adapter_slots": 8,
                           "loads_per_s": 2.8, "models": [{"name": "m0", "weights_mb": 72700.0, "load_time_s": 2.9,
                                                           "adapters": 3000, "adapter_mb": 66.0}]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}})
    runners = []
    weight_store = WeightStore()
    heartbeats = []
    for number in range(RUNNERS):
        runner = ModelRunner(record, store, f"i-{round_number}-{number}", "assistant", model="m0",
                             zone="zone-a" if number == 0 else "zone-b")
        runner.weight_store = weight_store
        runner.adapters = {"a0": True}
        runner.garbles = number < GARBLING_RUNNERS
        await runner.start()
        heartbeats.append(asyncio.create_task(runner.heartbeat()))
        runners.append(runner)
    host = hosts.start(f"host-{round_number}")
    await hosts.await_ready()
    await asyncio.sleep(4)  # the host takes the lease of each runner

    async def request(request_id, adapter):
        headers = {"Host": "desk.example", "Request-Id": request_id, "Timeout-Ms": "6000", "Model": f"m0/{adapter}",
                   "Token-Usage": "300,52", "Prompt-Prefix": f"{zlib.crc32(request_id.encode()):x}:300"}
        record.write(f"consumer sends {request_id} for {adapter}")
        channel = Channel(host.callers)
        answer = await channel.exchange("POST", "/draft/1", headers, b"prompt", 8)
        channel.close()
        record.write(f"consumer gets for {request_id}: {answer}")

    for runner in runners:
        runner.trouble_ends = time.monotonic() + TROUBLE_SECONDS
    tasks = []
    for number in range(200):  # usual traffic
        tasks.append(asyncio.create_task(request(f"usual-{round_number}-{number}", "a0")))
        await asyncio.sleep(0.014)
    await asyncio.gather(*tasks)
    tasks = []
    for number in range(RARE_ADAPTERS):
        tasks.append(asyncio.create_task(request(f"rare-{round_number}-{number}", f"a{1 + number}")))
        await asyncio.sleep(0.002)
    await asyncio.gather(*tasks)
    for heartbeat in heartbeats:
        heartbeat.cancel()
    runs = [each for runner in runners for each in runner.runs]
    twice = sorted({each for each in runs if runs.count(each) > 1})
    shares = ", ".join(f"{runner.identity} {runner.extras} of {runner.answers}" for runner in runners)
    record.write(f"round {round_number}: {len(runs)} runs; extra answers: {shares}; run more than once: {twice}")
    return sum(runner.extras for runner in runners), twice


async def case(record, store, hosts):
    for round_number in range(ROUNDS):
        extras, twice = await play(record, round_number)
        if twice:
            return RULE_BROKEN
        if extras:
            return RULE_HELD
    if TROUBLE:
        raise RuntimeError("no rejection was copied")
    return RULE_HELD


run_case(case, FOLDER)
