"""Open channels to the store go silent, and hosts go on with the old configuration for seconds."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))
sys.dont_write_bytecode = True
from fixture import RULE_BROKEN, RULE_HELD, TROUBLE, Channel, Runner, run_case  # noqa: E402

CONTACT_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 2.0
HOSTS = 3


def configuration(version, service, timeout_ms=1000):
    return {
        "version": version,
        "routes": [{"name": "r-1", "host": "desk.example", "path_prefix": "/stock/", "route_type": "safe",
                    "timeout_ms": timeout_ms, "target_latency_ms": 193, "priority": 2, "upstream": service,
                    "max_attempts": 2}],
        "upstreams": [{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}
                      for name in ("desk-old", "desk-new")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}}


async def case(record, store, hosts):
    ran_by = {}

    async def run(runner, method, target, headers, body, writer):
        request_id = headers["request-id"]
        runner.has_run(request_id)
        ran_by.setdefault(request_id, []).append(runner.service)
        await asyncio.sleep(0.03)
        await runner.send(writer, 200, b"x" * 800,
                          [f"Request-Id: {request_id}", "Response-Signature: signed"])
        return True

    await store.put("keyed.op", "config", configuration(7, "desk-old"))
    for service in ("desk-old", "desk-new"):
        for number in range(2):
            runner = Runner(record, store, f"i-{service}-{number}", service, slots=6, run=run)
            await runner.start()
            asyncio.get_running_loop().create_task(runner.heartbeat())
    for number in range(HOSTS):
        hosts.start(f"host-{number}")
    await hosts.await_ready()
    await asyncio.sleep(4)

    sent_at = {}

    async def consumer(host):
        channel = Channel(host.callers)
        number = 0
        while True:
            number += 1
            request_id = f"{host.name}-{number}"
            sent_at[request_id] = record.now()
            answer = await channel.exchange(
                "GET", "/stock/1", {"Host": "desk.example", "Request-Id": request_id, "Timeout-Ms": "1000"}, b"", 2)
            record.write(f"consumer gets for {request_id}: {answer}, run by {ran_by.get(request_id)}")
            if not answer.complete or answer.headers.get("connection") == "close":
                channel.close()
            await asyncio.sleep(0.1)

    consumers = [asyncio.create_task(consumer(host)) for host in hosts.processes]
    await asyncio.sleep(2)
    await store.put("keyed.op", "config", configuration(9, "desk-old", 1100))
    record.write("the store acknowledges version 9, which changes a time-out")
    await asyncio.sleep(0.7)
    silent_at = record.now()
    if TROUBLE:
        count = store.silence_open_channels()
        record.write(f"the {count} open channels of the hosts to the store go silent; new ones work")
    await asyncio.sleep(1)
    await store.put("keyed.op", "config", configuration(12, "desk-new", 1100))
    acknowledged_at = record.now()
    record.write("the store acknowledges version 12, which moves the route to desk-new")
    await asyncio.sleep(9)
    for each in consumers:
        each.cancel()
    due = acknowledged_at + CONFIG_APPLY_SECONDS
    in_touch = silent_at + CONTACT_SECONDS if TROUBLE else silent_at
    late = {host.name: [] for host in hosts.processes}
    for request_id, services in ran_by.items():
        if "desk-old" in services and sent_at[request_id] > max(due, in_touch):
            late[request_id.rpartition("-")[0]].append(sent_at[request_id])
    record.write(f"hosts are in touch from {in_touch:.3f}, version 12 is due from {due:.3f}")
    for name, moments in late.items():
        last = f", the last {max(moments) - acknowledged_at:.3f} s after the acknowledgement" if moments else ""
        after = sum(moment > max(due, in_touch + CONFIG_APPLY_SECONDS) for moment in moments)
        record.write(f"{name}: {len(moments)} requests sent later were run by desk-old{last}; "
                     f"{after} of them also {CONFIG_APPLY_SECONDS} s after it came into touch")
    return RULE_BROKEN if any(late.values()) else RULE_HELD


run_case(case, FOLDER)
