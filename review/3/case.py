"""Two hosts are stopped in turn; a request that one of them takes 4 s after its SIGTERM is cut in its answer."""
import asyncio
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))
sys.dont_write_bytecode = True
from fixture import LOOPBACK, RULE_BROKEN, RULE_HELD, TROUBLE, Channel, Runner, run_case  # noqa: E402

EVENTS = 73  # as quote-note has on average
EVENT_SECONDS = 0.07
TIME_BUDGET_MS = 15000
GAP_SECONDS = 1.0  # between the two stops
GRACE_SECONDS = 8.0


async def case(record, store, hosts):

    async def run(runner, method, target, headers, body, writer):
        request_id = headers["request-id"]
        runner.has_run(request_id)
        head = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}", "Response-Signature: signed",
                "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(head).encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        record.write(f"runner {runner.identity} has sent all of {request_id}")
        return True

    await store.put("keyed.op", "config", {
        "version": 7,
        "routes": [{"name": "r-1", "host": "desk.example", "path_prefix": "/note/", "route_type": "streaming",
                    "timeout_ms": TIME_BUDGET_MS, "target_latency_ms": 800, "priority": 0, "upstream": "notes",
                    "max_attempts": 1, "can_resume": False, "gap_aim_ms": 600}],
        "upstreams": [{"name": "notes", "health_path": "/healthz", "max_connections": 370, "protocol": "h1",
                       "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}})
    for number in range(2):
        runner = Runner(record, store, f"i-{number}", "notes", run=run)
        await runner.start()
        asyncio.get_running_loop().create_task(runner.heartbeat())
    first, second = hosts.start("host-0"), hosts.start("host-1")
    await hosts.await_ready()
    await asyncio.sleep(2)

    async def addresses():
        answer = await Channel(first.directory).exchange(
            "GET", "/v1/resolve?name=desk.example&region=region-a&zone=zone-a", {}, b"", 1)
        found = json.loads(answer.body)["addresses"] if answer.complete else []
        names = [host.name for host in (first, second) if f"{LOOPBACK}:{host.callers}" in found]
        record.write(f"the directory of host-0 names {names}")
        return names

    async def request(channel, request_id):
        headers = {"Host": "desk.example", "Request-Id": request_id, "Timeout-Ms": str(TIME_BUDGET_MS)}
        answer = await channel.exchange("POST", "/note/1", headers, b"prompt", TIME_BUDGET_MS / 1000)
        record.write(f"consumer gets for {request_id}: {answer}")
        return answer

    channels = [Channel(first.callers) for _ in range(4)]
    for channel in channels:
        await channel.open()
    await addresses()
    stopped_at = record.now()
    if TROUBLE:
        first.send_signal(signal.SIGTERM)
        record.write("host-0 gets SIGTERM")
    await asyncio.sleep(GAP_SECONDS)
    if TROUBLE:
        second.send_signal(signal.SIGTERM)
        record.write("host-1 gets SIGTERM")
    answers = {}
    tasks = []
    for number, channel in enumerate(channels):
        await asyncio.sleep(max(0, stopped_at + 3.2 + 0.4 * number - record.now()))
        if "host-0" in await addresses():
            request_id = f"note-{number}"
            record.write(f"consumer sends {request_id} on a kept channel, {record.now() - stopped_at:.3f} s after "
                         + ("the SIGTERM of host-0" if TROUBLE else "the moment of the first SIGTERM"))

            async def collect(channel=channel, request_id=request_id):
                answers[request_id] = await request(channel, request_id)
                answers[request_id].at = record.now()

            tasks.append(asyncio.create_task(collect()))
    await asyncio.gather(*tasks)
    lost = [request_id for request_id, answer in answers.items()
            if not answer.complete and answer.at - stopped_at < GRACE_SECONDS + 1]
    for request_id in lost:
        record.write(f"{request_id}: the channel ended {answers[request_id].at - stopped_at:.3f} s after the SIGTERM "
                     f"with {len(answers[request_id].body)} bytes of an incomplete answer")
    if not answers:
        raise RuntimeError("no request was sent")
    return RULE_BROKEN if lost else RULE_HELD


run_case(case, FOLDER)
