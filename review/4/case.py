"""CONFIG: the key of the last tenant still works after a configuration without tenants' rows is acknowledged."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_ins import *  # noqa: E402,F403

CONFIG_APPLY_S = 2.0
REMAINING_MS = 4000
ROUTES = [("search", "/archive/", "idempotent", "3000ms", SERVICE)]


async def case(record, has_trouble):
    deployment = Deployment(record, {"gp-joburg": "gauteng"})
    try:
        await deployment.store.start()
        await deployment.store.put("config", "main", configuration(3, [(TENANT, [KEY], 110, 110)], ROUTES))
        for _ in range(2):
            await deployment.add_backend("gp-joburg").start()
        for _ in range(3):
            await deployment.add_node("gp-joburg").start()
        for node in deployment.nodes:
            await node.wait_until_ready()
        await asyncio.sleep(3.5)  # longer than stability_window

        async def send(node, request_id, key):
            record.line("client", "sends", id=request_id, key=key)
            answer = await call(node.frontend, "GET", "/archive/1", request_headers(request_id, REMAINING_MS, key))
            record.line("client", "receives", id=request_id, status=answer.status if answer else "none")
            return answer.status if answer else 0

        if await send(deployment.nodes[0], "before", KEY) != 200:
            raise CannotRun("no answer in calm")
        if await send(deployment.nodes[0], "foreign-before", "no-such-key") != 401:
            raise CannotRun("an unknown key is not refused in calm")
        # With the trouble the only tenant leaves, and its row with it. Without it the tenant stays and loses its key.
        tenants = [] if has_trouble else [(TENANT, [], 110, 110)]
        await deployment.store.put("config", "main", configuration(4, tenants, ROUTES))
        record.line("operator", "acknowledged", version="r4", tenants=len(tenants))
        await asyncio.sleep(CONFIG_APPLY_S + 1.0)
        for number, node in enumerate(deployment.nodes, 1):
            await send(node, f"revoked-{number}", KEY)
            await send(node, f"foreign-{number}", "no-such-key")
        broken = [request_id for _, request_id, _ in deployment.runs() if request_id.startswith(("revoked", "foreign"))]
        for request_id in broken:
            record.line("check", "CONFIG" if request_id.startswith("revoked") else "ROUTE", id=request_id, run=1)
        return not broken
    finally:
        await deployment.end()


run_case(os.path.dirname(os.path.abspath(__file__)), case)
