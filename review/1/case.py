"""A departure that was acknowledged is forgotten when a herd of processes is killed."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import mesh  # noqa: E402

HOST, PREFIX = "jepu9.example", "/lepu270/"
SERVICES = ["huvo11a"] * 5 + ["wuno96b"] * 4 + ["kafi81c"] * 4
DRAIN_S, CONTACT_S = 2.0, 3.0
# How long after its DELETE the backend serves on ("at times many seconds").
SERVES_ON_S = 9.0
# How long the killed processes are away. A kill of the core may last a second.
AWAY_S = 0.8
# How late the last beat comes.
LATE_S = 2.6


def configuration(version):
    columns = ["name", "host", "path_prefix", "mode", "cutoff_s", "setpoint_s", "priority", "split", "tries", "service"]
    return json.dumps({
        "generation": version,
        "routes": {"columns": columns, "rows": [["r-1", HOST, PREFIX, "idempotent", 2.0, 0.5, 2, None, 2, "huvo11a"]]},
        "subsystems": {"columns": ["name", "probe", "conn_limit", "protocol", "tls", "warmup_s", "warmup_rate_s"],
                       "rows": [[s, "/health", 130, "h1", False, 3.0, 9.3] for s in sorted(set(SERVICES))]},
        "saturation": {"header_bytes": 16384, "body_bytes": 67108864, "header_wait_s": 3, "idle_s": 15},
    })


async def scenario(fleet, trouble):
    record = fleet.record
    await fleet.start(["naas", "swords", "bray"], SERVICES)
    if await fleet.put_configuration(configuration(1)) != 200:
        raise mesh.CaseError("the first configuration was not taken")
    await fleet.await_ready()
    await asyncio.sleep(4)
    results, ended = [], False
    clients = asyncio.ensure_future(mesh.send_requests(fleet, (HOST, PREFIX), 0.02, results, lambda: ended))
    await asyncio.sleep(3)

    leaver = fleet.backends[0]
    before = len(leaver.arrivals)
    if before == 0:
        raise mesh.CaseError("the backend got no requests before it left")
    # The backend's last beat is under way and comes LATE_S late.
    leaver.beating = False
    late_beat = leaver.next_beat()
    written = record.now()
    acknowledged = await leaver.leave()
    if acknowledged is None:
        raise mesh.CaseError("the DELETE was not acknowledged")
    record.say(f"the DELETE of {leaver.id} on {leaver.machine.name} is acknowledged")
    herd = fleet.core() + fleet.sidecars()[:6]
    started = acknowledged
    if trouble:
        await asyncio.sleep(0.3)
        record.say("killed: " + ", ".join(m.name for m in herd))
        await asyncio.gather(*(m.kill() for m in herd))
        await asyncio.sleep(AWAY_S)
        await asyncio.gather(*(m.start() for m in herd))
        started = record.now()
        record.say("all of them are started again")
    await asyncio.sleep(max(0, written + LATE_S - record.now()))
    record.say(f"the late beat is answered {await leaver.send_beat(late_beat)}")
    await asyncio.sleep(max(0, acknowledged + SERVES_ON_S - record.now()))
    ended = True
    await clients

    in_touch_from = started + CONTACT_S + 0.2
    sent = {key: at for at, key, _, _ in results}
    late = [(at, key) for at, key, *_ in leaver.arrivals if at > acknowledged + DRAIN_S and sent.get(key, 0) > in_touch_from]
    ignored = [at for at, *_ in leaver.arrivals if at > acknowledged + DRAIN_S]
    record.say(f"{before} requests reached the backend before its DELETE; {len(ignored)} did later than drain_s after its "
               f"acknowledgement, {len(late)} of them sent when all machines had been in touch again")
    for at, key in late:
        record.line(f"late: {key} reaches {leaver.id} {at - acknowledged:.3f} s after the acknowledgement")
    statuses = {}
    for *_, status in results:
        statuses[status] = statuses.get(status, 0) + 1
    record.say(f"answers: {statuses}")
    return bool(late)


if __name__ == "__main__":
    mesh.main(scenario, os.path.dirname(os.path.abspath(__file__)))
