"""The backends of a zone that is taken back have turned cold, and get more than a cold backend bears."""

import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import mesh  # noqa: E402

# Orders, and the calls for the stock that backends of the first service make at the second one.
ORDERS, CHECKS = ("jepu9.example", "/lepu270/"), ("hulo84.example", "/xapu221/")
SERVICES = ["huvo11a"] * 5 + ["wuno96b"] * 4 + ["kafi81c"] * 4
SERVICE = "wuno96b"
# The work, the speeds of the backends and the requests a second of the second service, as on the site.
ORDER_S, CHECK_S, SPEEDS = 0.21, 0.04, [0.7, 0.7, 1.6, 0.7]
ORDERS_S, CHECKS_S = 52.0, 90.0
WARMUP_S, WARMUP_RATE_S, COLD_SLOWDOWN = 3.0, 9.3, 2.0
# The most requests in one second: warmup_rate_s x warmup_overshoot + warmup_slack.
BOUND = WARMUP_RATE_S * 1.5 + 5
# "It falls over at a rate well above" warmup_rate_s: here, at more than this in one second.
FALLS_OVER_AT = 2.5 * WARMUP_RATE_S
ZONE = "naas"
ROUNDS, EMPTY_S, COLD_BEFORE_S = 4, 5.0, 0.1


class ColdBackend(mesh.Backend):
    """A backend that may turn cold. Its beats tell for how much longer it is.

    A cold backend that gets more than FALLS_OVER_AT in one second falls over: it breaks off what it is
    running, says nothing, and comes back as a new life when it is warm.
    """

    cold_until, speed, fallen = 0.0, 1.0, False

    def __init__(self, *args):
        super().__init__(*args)
        self.writers, self.cold_arrivals, self.broken_off, self.falls = set(), [], [], []

    def turn_cold(self):
        self.cold_until = self.machine.fleet.record.now() + WARMUP_S
        self.cold_arrivals = []
        self.record(f"turns cold, after beat {self.count}")

    def next_beat(self, state="settled"):
        self.warm_left = max(0.0, round(self.cold_until - self.machine.fleet.record.now(), 3))
        body = super().next_beat(state)
        if self.warm_left:
            self.record(f"tells by beat {self.count} that it is cold for {self.warm_left} s more")
        return body

    async def beat_on(self):
        await asyncio.sleep(random.uniform(0, 0.2))
        while True:
            if not self.fallen:
                await self.send_beat(self.next_beat())
            await asyncio.sleep(mesh.BEAT_PERIOD_S)

    async def serve(self, reader, writer):
        if self.fallen:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, writer, method, path, fields, body):
        now, key = self.machine.fleet.record.now(), fields.get("x-try-id", "")
        cold = now < self.cold_until
        if cold:
            self.cold_arrivals = [at for at in self.cold_arrivals if at > now - 1] + [now]
        self.work_s = (CHECK_S if path.startswith(CHECKS[1]) else ORDER_S) * self.speed * (COLD_SLOWDOWN if cold else 1)
        life = self.id
        self.running = getattr(self, "running", {})
        self.running[key] = method
        if cold and len(self.cold_arrivals) > FALLS_OVER_AT and not self.fallen:
            asyncio.ensure_future(self.fall_over())
        await super().answer(writer, method, path, fields, body)
        if self.id == life:
            self.running.pop(key, None)

    async def fall_over(self):
        self.fallen = True
        await asyncio.sleep(0)
        self.broken_off += [key for key, method in self.running.items() if method == "POST"]
        self.falls.append(len(self.running))
        self.record(f"falls over at {len(self.cold_arrivals)} requests in a second and breaks off {sorted(self.running)}")
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(max(0.5, self.cold_until - self.machine.fleet.record.now()))
        self.id, self.count, self.running, self.fallen = self.id[:2] + f"{random.getrandbits(40):010x}", 0, {}, False
        self.record("is back as a new life")


def configuration(version):
    columns = ["name", "host", "path_prefix", "mode", "cutoff_s", "setpoint_s", "priority", "split", "tries", "service"]
    return json.dumps({
        "generation": version,
        "routes": {"columns": columns, "rows": [["r-1", *ORDERS, "effectful", 2.5, 0.6, 1, None, 2, SERVICE],
                                                ["r-2", *CHECKS, "idempotent", 0.5, 0.15, 2, None, 2, SERVICE]]},
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
    backends = [b for b in fleet.backends if b.service == SERVICE]
    for backend, speed in zip(backends, SPEEDS):
        backend.speed = speed
    if await fleet.put_configuration(configuration(1)) != 200:
        raise mesh.CaseError("the first configuration was not taken")
    await fleet.await_ready()
    await asyncio.sleep(4)
    results, ended = [], False
    callers = [m for m in fleet.sidecars() if m.service == "huvo11a"]
    clients = [asyncio.ensure_future(mesh.send_requests(fleet, ORDERS, 1 / ORDERS_S, results, lambda: ended, method="POST", body=b"o" * 4000)),
               asyncio.ensure_future(mesh.send_requests(fleet, CHECKS, 1 / CHECKS_S, results, lambda: ended, lambda: callers))]
    await asyncio.sleep(3)
    zone = [b for b in backends if b.machine.zone == ZONE]
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
        await asyncio.sleep(3 + 0.4 * number)
    ended = True
    await asyncio.gather(*clients)
    return judge(record, results, spans, zone)


def judge(record, results, spans, zone):
    """Reports what was seen, and returns whether the rule was broken."""
    sent = {key: at for at, key, _, _ in results}
    answered = {key: status for _, key, _, status in results}
    worst = 0
    for number, backend, start, end, back in spans:
        count = busiest_second(backend, sent, start, end)
        record.say(f"round {number + 1}: cold backend, taken back at {back:.3f}: {count} requests in its busiest second")
        worst = max(worst, count)
    for backend in zone:
        lost = [answered.get(key) for key in backend.broken_off]
        record.say(f"the backend fell over {len(backend.falls)} times and broke off {len(lost)} orders, answered {lost}")
    rate = len(results) / (results[-1][0] - results[0][0])
    record.say(f"{rate:.0f} requests a second; at most {worst} in one second at a cold backend, {BOUND:.1f} is the bound")
    return worst > BOUND


if __name__ == "__main__":
    mesh.main(scenario, os.path.dirname(os.path.abspath(__file__)))
