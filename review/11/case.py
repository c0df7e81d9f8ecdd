"""One replica in three spoils one answer in fifty: its head declares a length
that no body has, and the connection ends. See claim.txt."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "stage-3"))
import stage  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "pages.example"
LENGTH_S = 14
# The site's `garble`: a share of .35 of the replicas spoils .02 of its answers
# for 5.5 s. Here one replica of three.
SPOILS_FROM_S, SPOILS_FOR_S = 3, 5.5
CALLERS = 10
SPOILED_EVERY = 50


class SpoilingServer(stage.Server):
    spoiled = 0
    spoils_from = float("inf")
    seen = 0

    async def send_answer(self, attempt, line, headers, writer):
        spoils = (self.spoils_from <= time.monotonic()
                  < self.spoils_from + SPOILS_FOR_S)
        self.seen += 1 if spoils else 0
        if not spoils or self.seen % SPOILED_EVERY != 0:
            return await super().send_answer(attempt, line, headers, writer)
        self.spoiled += 1
        self.record.say(f"spoiled {self.id} {attempt}")
        writer.write(self.head("200 OK", self.marks(attempt),
                               "8" * 18) + self.text(attempt))
        await writer.drain()
        return False


async def main(record, folder):
    store = stage.Store()
    await store.start()
    store.put("op", "config", {
        "version": 7,
        "routes": [{"name": "r-1", "host": HOST, "prefix": "/confirm/",
                    "kind": "unsafe", "timeout_ms": 2000,
                    "target_latency_ms": 300, "priority": 1,
                    "service": "portal", "max_attempts": 2}],
        "services": [{"name": "portal", "health_path": "/health",
                      "max_conns": 370, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 15000}})
    zones = {"centro": "parana"}
    servers = [stage.Server(store, record, "i-1", "portal", "centro",
                            work_ms=60),
               stage.Server(store, record, "i-2", "portal", "centro",
                            work_ms=60),
               SpoilingServer(store, record, "i-3", "portal", "centro",
                              work_ms=60)]
    for server in servers:
        await server.start()
    gateways = [stage.Gateway(record, folder, f"front-{n}", "centro", zones,
                              store.port) for n in (1, 2)]
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                record.say(f"{gateway.name} was never ready")
                return 2
        # A machine is in touch after contact_ms.
        await asyncio.sleep(4.5)
        results = []
        until = time.monotonic() + LENGTH_S
        if TROUBLE:
            servers[2].spoils_from = time.monotonic() + SPOILS_FROM_S
        await asyncio.gather(*(stage.confirm_all_the_time(
                                 gateway, record, until, results,
                                 "/confirm/1", HOST)
                               for gateway in gateways
                               for _ in range(CALLERS)))
        return judge(record, gateways, servers, results)
    finally:
        for gateway in gateways:
            gateway.end()


def judge(record, gateways, servers, results):
    lost_ones = stage.lost_requests(results, servers[:2])
    broken = False
    for gateway in gateways:
        own = [r for r in results if r[0] == gateway.name]
        lost = [r for r in lost_ones if r[0] == gateway.name]
        answered = sum(1 for r in own if r[3] == "200")
        line = (f"{gateway.name}: {len(own)} requests, {answered} answered 200, "
                f"ended by itself {len(gateway.own_ends)} times, closed "
                f"{len(lost)} kept connections without an answer to a request "
                f"that a sound replica ran")
        record.say(line)
        print(line)
        broken = broken or len(lost) > 3
    spoiled = servers[2].spoiled
    runs = servers[2].seen
    print(f"{servers[2].id} spoiled {spoiled} of {runs} answers in that time")
    ended = sum(1 for g in gateways if len(g.own_ends) >= 3)
    print(f"machines whose process ended by itself three times: {ended}")
    print("LOST:", "broken" if broken else "held")
    if not results:
        return 2
    return 1 if broken else 0


stage.run_case(main, os.path.dirname(os.path.abspath(__file__)))
