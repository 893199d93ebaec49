"""A configuration whose routes name services that it does not have is acknowledged and in force."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import mesh  # noqa: E402

HOST, FIRST, SECOND = "jepu9.example", "/lepu270/", "/xapu221/"
SERVICES = ["huvo11a"] * 5 + ["wuno96b"] * 4 + ["kafi81c"] * 4


def configuration(version, prefix, services):
    columns = ["name", "host", "path_prefix", "mode", "cutoff_s", "setpoint_s", "priority", "split", "tries", "service"]
    return json.dumps({
        "generation": version,
        "routes": {"columns": columns, "rows": [["r-1", HOST, prefix, "idempotent", 2.0, 0.5, 2, None, 2, "huvo11a"]]},
        "subsystems": {"columns": ["name", "probe", "conn_limit", "protocol", "tls", "warmup_s", "warmup_rate_s"],
                       "rows": [[s, "/health", 130, "h1", False, 3.0, 9.3] for s in services]},
        "saturation": {"header_bytes": 16384, "body_bytes": 67108864, "header_wait_s": 3, "idle_s": 15},
    })


async def scenario(fleet, trouble):
    record = fleet.record
    services = sorted(set(SERVICES))
    await fleet.start(["naas", "swords", "bray"], SERVICES)
    if await fleet.put_configuration(configuration(1, FIRST, services)) != 200:
        raise mesh.CaseError("the first configuration was not taken")
    await fleet.await_ready()
    await asyncio.sleep(4)
    results = []
    await asyncio.gather(*(mesh.send_one(fleet, m, (HOST, FIRST), f"first{i:03}", results, "GET", b"") for i, m in enumerate(fleet.sidecars())))
    if not all(status == 200 for *_, status in results):
        raise mesh.CaseError("the first route is not served")

    # The table of services is empty, so the service of the only route is unknown.
    status = await fleet.put_configuration(configuration(2, SECOND, [] if trouble else services))
    record.say(f"the {'invalid' if trouble else 'valid'} configuration of generation 2 is answered {status}")
    await asyncio.sleep(3)
    read = json.loads(await fleet.get_configuration() or "{}")
    record.say(f"the configuration read back has generation {read.get('generation')}")
    results = []
    await asyncio.gather(*(mesh.send_one(fleet, m, (HOST, SECOND), f"second{i:03}", results, "GET", b"") for i, m in enumerate(fleet.sidecars())))
    await asyncio.gather(*(mesh.send_one(fleet, m, (HOST, FIRST), f"third{i:03}", results, "GET", b"") for i, m in enumerate(fleet.sidecars())))
    served = {p: [s for *_, s in results[i:i + len(fleet.sidecars())]] for p, i in ((SECOND, 0), (FIRST, len(fleet.sidecars())))}
    record.say(f"answers on the route of generation 2: {served[SECOND]}")
    record.say(f"answers on the route of generation 1: {served[FIRST]}")
    if not trouble:
        return status != 200 or 200 not in served[SECOND]
    return status // 100 == 2 or read.get("generation") == 2 or 200 in served[SECOND]


if __name__ == "__main__":
    mesh.main(scenario, os.path.dirname(os.path.abspath(__file__)))
