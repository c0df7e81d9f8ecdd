"""A key is withdrawn. Later than `revoke_ms` after that a process is killed and
starts again while the store is back from a copy in which the key was still
valid; a moment later the operator writes the newest configuration again. See
claim.txt."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "stage-3"))
import stage  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "pages.example"
REVOKE_MS = 5000
# The copy is some seconds old, the store away for a moment.
COPY_AGE_S = 7.5
AWAY_S = 0.2
# The operator writes again as soon as a replica does, after one heartbeat.
WRITTEN_AGAIN_S = 1.2


class DrilledStore(stage.Store):
    def restore_from(self, seconds):
        """Comes back from a copy. The replicas write again with their next
        heartbeat, the operator when it has noticed (write_again)."""
        since = time.monotonic() - seconds
        kept = [(entry, at) for entry, at in zip(self.log, self.times)
                if at <= since]
        self.log = [entry for entry, _ in kept]
        self.times = [at for _, at in kept]
        self.rows = {}
        for ver, table, part, key, value in self.log:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (value, ver)
        self.ver = self.log[-1][0]
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()


def configuration(version, keys):
    return {
        "version": version,
        "routes": [{"name": "r-1", "host": HOST, "prefix": "/valve/",
                    "kind": "unsafe", "timeout_ms": 1200,
                    "target_latency_ms": 200, "priority": 1,
                    "service": "control", "max_attempts": 1}],
        "services": [{"name": "control", "health_path": "/health",
                      "max_conns": 600, "protocol": "h1", "tls": False}],
        "tenants": [{"name": "north", "api_keys": keys},
                    {"name": "south", "api_keys": ["south-1"]}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def caller(gateway, record, until, sent, counts):
    """Asks with the withdrawn key."""
    while time.monotonic() < until:
        attempt = stage.attempt_id()
        sent[attempt] = (time.monotonic(), gateway.name)
        try:
            connection = stage.Connection(gateway)
            await connection.open()
            status, _, _ = await connection.call(
                "POST", "/valve/1", HOST, attempt, 1200, b"x",
                {"Authorization": "Bearer north-1"})
            connection.close()
            end = str(status)
        except (stage.Broken, OSError, asyncio.TimeoutError) as error:
            end = type(error).__name__
        record.say(f"answer {gateway.name} {attempt} {end}")
        counts[end] = counts.get(end, 0) + 1
        await asyncio.sleep(0.02)


async def main(record, folder):
    store = DrilledStore()
    await store.start()
    store.put("op", "config", configuration(7, ["north-1", "north-2"]))
    zones = {"brno-a": "cz-east", "ostrava-a": "cz-east",
             "praha-a": "cz-west"}
    servers = [stage.Server(store, record, f"i-{n}", "control", "brno-a",
                            work_ms=30, heartbeat_ms=1200) for n in (1, 2)]
    for server in servers:
        await server.start()
    bounds = {"revoke_ms": REVOKE_MS, "revoke_fail_closed": True,
              "quota_window_s": 8, "quota_over": 0.1, "quota_slack": 17000}
    gateways = [stage.Gateway(record, folder, f"front-{zone}", zone, zones,
                              store.port, bounds=bounds) for zone in zones]
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                record.say(f"{gateway.name} was never ready")
                return 2
        await asyncio.sleep(6)
        sent, counts = {}, {}
        until = time.monotonic() + 14
        callers = [asyncio.create_task(caller(gateway, record, until, sent,
                                              counts))
                   for gateway in gateways]
        await asyncio.sleep(1)
        newest = configuration(8, ["north-2"])
        store.put("op", "config", newest)
        withdrawn = time.monotonic()
        record.say("the store has acknowledged the version without the key")
        await asyncio.sleep(6)
        if TROUBLE:
            record.say(f"kill {gateways[2].name}")
            gateways[2].process.kill()
            await asyncio.sleep(0.6)
            record.say("the store is away")
            store.is_down = True
            await asyncio.sleep(AWAY_S)
            store.restore_from(COPY_AGE_S)
            store.is_down = False
            record.say("the store is back from a copy")
            await asyncio.sleep(WRITTEN_AGAIN_S)
            store.put("op", "config", newest)
            record.say("the operator has written again")
        await asyncio.gather(*callers)
        late = sorted((sent[attempt][0] - withdrawn, sent[attempt][1], attempt)
                      for server in servers for attempt, _ in server.runs
                      if attempt in sent
                      and sent[attempt][0] > withdrawn + REVOKE_MS / 1000)
        for after, name, attempt in late:
            record.say(f"ran {attempt}, sent to {name} {after:.2f} s after the "
                       "acknowledgement")
        print("answers to the withdrawn key:", counts)
        if late:
            print(f"{len(late)} requests with it ran that were sent "
                  f"{late[0][0]:.2f} to {late[-1][0]:.2f} s after the "
                  f"acknowledgement, at {sorted({one[1] for one in late})}")
        print("CONFIG:", "broken" if late else "held")
        return 2 if not counts.get("200") else 1 if late else 0
    finally:
        for gateway in gateways:
            gateway.end()


stage.run_case(main, os.path.dirname(os.path.abspath(__file__)))
