#!/usr/bin/env python3
"""Writes the two example deployments at the sizes of their owners."""

import hashlib
import sys


def digest(key):
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


def organisation(name, requests, tokens, weight):
    return f"""[[organisations]]
name = "{name}"
key_digests = ["{digest('key-of-' + name)}"]
requests_per_second = {requests}
tokens_per_second = {tokens}
weight = {weight}
"""


def model(name, owner, memory, replicas, rate, priority):
    return f"""[[models]]
name = "{name}"
owner = "{owner}"
version = 1
memory_mib = {memory}
source = "weights/{owner}/{name}"
min_replicas = {replicas}
requests_per_second_per_replica = {rate}
first_token_ms = 400
between_tokens_ms = 42
priority = {priority}
"""


def adapter(name, base, memory):
    return f"""[[adapters]]
name = "{name}"
base_model = "{base}"
memory_mib = {memory}
"""


def server(name, port, region, domain, fencing, service=None):
    text = f"""[[backend_servers]]
name = "{name}"
url = "http://127.0.0.1:{port}"
region = "{region}"
failure_domain = "{domain}"
"""
    if service:
        return text + f'accelerators = 0\nservice = "{service}"\n'
    return text + f"""accelerators = 1
memory_mib = 81920
adapter_slab_mib = 8192
checks_fencing = {'true' if fencing else 'false'}
"""


def route(path, owner, service, idempotent):
    return f"""[[routes]]
path = "{path}"
owner = "{owner}"
service = "{service}"
idempotent = {'true' if idempotent else 'false'}
"""


def policy(price, rate, at_once):
    return f"""[policy]
move_price = {price}
loads_per_second = {rate}
loads_at_once = {at_once}
"""


def electric():
    owners = ["outage-desk", "call-centre", "emergency-office", "crews"]
    parts = ['name = "electrica-litoral-sur"\n', policy(3.0, 1.6, 2)]
    parts += [organisation(o, 60, 60000, 2 if i == 2 else 1)
              for i, o in enumerate(owners)]
    for i in range(20):
        parts.append(model(f"drafter-{i:02}", owners[i % 4],
                           [28672, 30720, 32768, 36864][i % 4], 1, 2.0,
                           5 if i % 4 == 2 else 1))
    for i in range(60):
        parts.append(adapter(f"adapter-{i:02}",
                             f"{owners[i % 20 % 4]}/drafter-{i % 20:02}", 256))
    domains = [("parana", "parana-a"), ("parana", "parana-b"),
               ("santa-fe", "santa-fe-a")]
    for i in range(12):
        region, domain = domains[i % 3]
        parts.append(server(f"drafting-{i:02}", 7200 + i, region, domain,
                            i % 4 != 3))
    for i in range(3):
        region, domain = domains[i]
        parts.append(server(f"application-{i}", 7150 + i, region, domain,
                            True, "restorations"))
    parts.append(route("/restorations/", "crews", "restorations", False))
    parts.append(route("/restorations/", "emergency-office", "restorations",
                       False))
    return "\n".join(parts)


def drinks():
    owners = ["drivers", "shops", "office"]
    parts = ['name = "gosbrunnur"\n', policy(10.0, 2.0, 9)]
    parts += [organisation(o, 80, 80000, 1) for o in owners]
    for i in range(21):
        parts.append(model(f"writer-{i:02}", owners[i % 3],
                           [24576, 30720, 36864][i % 3], 1, 2.0, 1))
    for i in range(120):
        parts.append(adapter(f"adapter-{i:03}",
                             f"{owners[i % 21 % 3]}/writer-{i % 21:02}", 128))
    domains = [("sudvestur", "sudvestur-a"), ("sudvestur", "sudvestur-b"),
               ("nordaustur", "nordaustur-a")]
    for i in range(18):
        region, domain = domains[i % 3]
        parts.append(server(f"writer-{i:02}", 7200 + i, region, domain,
                            i % 6 != 5))
    for i in range(3):
        region, domain = domains[i]
        parts.append(server(f"order-desk-{i}", 7150 + i, region, domain, True,
                            "order-desk"))
    parts.append(route("/orders/", "drivers", "order-desk", False))
    parts.append(route("/stock/", "drivers", "order-desk", True))
    parts.append(route("/orders/", "shops", "order-desk", False))
    return "\n".join(parts)


def demo():
    parts = ['name = "demo"\n', policy(1.0, 10.0, 4),
             organisation("outage-desk", 100, 100000, 1),
             organisation("crews", 100, 100000, 1)]
    for i in range(4):
        parts.append(model(f"drafter-{i}", "outage-desk", 16384, 1, 10.0, 1))
    for i in range(3):
        parts.append(server(f"engine-{i}", 7200 + i, "parana", f"parana-{i}",
                            i != 2))
    parts.append(server("application-0", 7150, "parana", "parana-0", True,
                        "restorations"))
    parts.append(route("/restorations/", "crews", "restorations", False))
    return "\n".join(parts)


def main():
    folder = sys.argv[1]
    for name, make in [("electrica", electric), ("gosbrunnur", drinks),
                       ("demo/demo", demo)]:
        with open(f"{folder}/{name}.toml", "w", encoding="utf-8") as out:
            out.write(make())


main()
