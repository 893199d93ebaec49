"""The backends of a zone that is taken back have turned cold, and get more than a cold backend bears."""

import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import mesh  # noqa: E402

HOST, PREFIX = "jepu9.example", "/lepu270/"
SERVICES = ["huvo11a"] * 5 + ["wuno96b"] * 4 + ["kafi81c"] * 4
# The work of the first service and the speeds of its backends, as on the site.
WORK_S, SPEEDS = 0.16, [0.6, 1.0, 1.4, 0.6, 1.0]
REQUESTS_S = 150.0
WARMUP_S, WARMUP_RATE_S, COLD_SLOWDOWN = 3.0, 9.3, 2.0
# The most requests in one second: warmup_rate_s x warmup_overshoot + warmup_slack.
BOUND = WARMUP_RATE_S * 1.5 + 5
ZONE = "naas"
ROUNDS, EMPTY_S, COLD_BEFORE_S = 5, 5.0, 0.1


class ColdBackend(mesh.Backend):
    """A backend that may turn cold. Its beats tell for how much longer it is."""

    cold_until = 0.0

    def turn_cold(self):
        self.cold_until = self.machine.fleet.record.now() + WARMUP_S
        self.record(f"turns cold, after beat {self.count}")

    def is_cold(self, now):
        return now < self.cold_until

    def next_beat(self, state="settled"):
        self.warm_left = max(0.0, round(self.cold_until - self.machine.fleet.record.now(), 3))
        body = super().next_beat(state)
        if self.warm_left:
            self.record(f"tells by beat {self.count} that it is cold for {self.warm_left} s more")
        return body

    async def answer(self, writer, method, path, fields, body):
        self.work_s = self.base_s * (COLD_SLOWDOWN if self.is_cold(self.machine.fleet.record.now()) else 1)
        await super().answer(writer, method, path, fields, body)


def configuration(version):
    columns = ["name", "host", "path_prefix", "mode", "cutoff_s", "setpoint_s", "priority", "split", "tries", "service"]
    return json.dumps({
        "generation": version,
        "routes": {"columns": columns, "rows": [["r-1", HOST, PREFIX, "idempotent", 2.0, 0.5, 2, None, 2, "huvo11a"]]},
        "subsystems": {"columns": ["name", "probe", "conn_limit", "protocol", "tls", "warmup_s", "warmup_rate_s"],
                       "rows": [[s, "/health", 130, "h1", False, WARMUP_S, WARMUP_RATE_S] for s in sorted(set(SERVICES))]},
        "saturation": {"header_bytes": 16384, "body_bytes": 67108864, "header_wait_s": 3, "idle_s": 15},
    })


async def order(fleet, method):
    """Sends an order on the zone until it is acknowledged. Returns the time of the acknowledgement."""
    while True:
        node = random.choice(fleet.core())
        try:
            status, _, _ = await mesh.call(node.control, method, f"/api/evacuation/{ZONE}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        fleet.record.line(f"operator: {method} of {ZONE} at {node.name} is answered {status}")
        if status // 100 == 2:
            return fleet.record.now()
        await asyncio.sleep(0.1)


def busiest_second(backend, sent, start, end):
    """Returns the most requests that were sent, and reached the cold backend, within one second."""
    arrived = [(at, sent.get(key, 0.0)) for at, key, *_ in backend.arrivals if start <= at < end]
    return max([sum(1 for at, began in arrived if began >= first and at < first + 1) for _, first in arrived] or [0])


async def scenario(fleet, trouble):
    record = fleet.record
    fleet.backend_class = ColdBackend
    await fleet.start(["naas", "swords", "bray"], SERVICES)
    for backend, speed in zip(fleet.backends, SPEEDS + [1.0] * 8):
        backend.base_s = WORK_S * speed
    if await fleet.put_configuration(configuration(1)) != 200:
        raise mesh.CaseError("the first configuration was not taken")
    await fleet.await_ready()
    await asyncio.sleep(4)
    results, ended = [], False
    clients = asyncio.ensure_future(mesh.send_requests(fleet, (HOST, PREFIX), 1 / REQUESTS_S, results, lambda: ended))
    await asyncio.sleep(3)
    zone = [b for b in fleet.backends if b.service == "huvo11a" and b.machine.zone == ZONE]
    spans = []
    for number in range(ROUNDS):
        if trouble:
            await order(fleet, "POST")
            await asyncio.sleep(EMPTY_S)
            start = record.now()
            for backend in zone:
                backend.turn_cold()
            await asyncio.sleep(COLD_BEFORE_S)
            back = await order(fleet, "DELETE")
            spans += [(number, b, start, start + WARMUP_S, back) for b in zone]
            await asyncio.sleep(WARMUP_S)
        # The pause lets the next order fall elsewhere between two beats.
        await asyncio.sleep(2 + 0.3 * number)
    ended = True
    await clients
    sent = {key: at for at, key, _, _ in results}
    worst = 0
    for number, backend, start, end, back in spans:
        count = busiest_second(backend, sent, start, end)
        record.say(f"round {number + 1}: cold backend {backend.id}, taken back at {back:.3f}: {count} requests in its busiest second")
        worst = max(worst, count)
    rate = len(results) / (results[-1][0] - results[0][0])
    record.say(f"{rate:.0f} requests a second; at most {worst} in one second at a cold backend, {BOUND:.1f} is the bound")
    return worst > BOUND


if __name__ == "__main__":
    mesh.main(scenario, os.path.dirname(os.path.abspath(__file__)))
