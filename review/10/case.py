"""A ban that is told during an upgrade is not known to the new process when it takes over."""

import asyncio
import os
import secrets
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import standins as st  # noqa: E402

GRACE_S = 0.25       # guarantees.stop_sending_within
SLACK_S = 0.05       # each time limit is 50 ms longer on sockets


async def accepts(port):
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


async def post(port, path):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(("POST %s HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                  % path).encode())
    head = await asyncio.wait_for(st.read_head(reader), 1)
    writer.close()
    return int(head[0].split(" ")[1])


async def body(case):
    platform = st.Platform(case)
    await platform.start()
    banned = []

    async def handle(call):
        late = banned and call.endpoint.name == "s-1" and (
            call.first_byte > banned[0] + GRACE_S + SLACK_S)
        case.record("call", endpoint=call.endpoint.name,
                    after_ban_ms=int(1000 * (call.first_byte - banned[0])) if banned else None)
        if late:
            case.rule_broken("s-1 was called %d ms after the courier said yes to its ban" % (
                1000 * (call.first_byte - banned[0])))
        await asyncio.sleep(0.08)
        return 200, {}

    for name, site in (("s-1", "east-building"), ("s-2", "west-building")):
        endpoint = st.Endpoint(case, name, handle)
        await endpoint.start()
        platform.add(name, endpoint.port, 7, kind="installer", site=site, share=40.0)
    its = st.settings([st.keyed(), st.safe()], calls_out=8)
    its["guarantees"]["stop_sending_within"] = int(1e6 * GRACE_S)
    courier = st.Courier(case, "n0", platform, its, operator=True)
    old = await courier.start()
    old_port = courier.operator_port
    client = st.Client(case, courier)

    async def traffic():
        while True:
            asyncio.create_task(client.hand_in(
                st.Message(7, "schedule-update", 5000)))
            await asyncio.sleep(0.03)

    flow = asyncio.create_task(traffic())
    await asyncio.sleep(2)

    async def ban_when_new_one_listens():
        while courier.operator_port == old_port or not await accepts(courier.operator_port):
            await asyncio.sleep(0.005)
        case.record("the new process listens to operators")
        status = await post(old_port, "/-/endpoints/s-1/disable")
        banned.append(st.now())
        case.record("ban", status=status)
        if status >= 300:
            raise st.CannotRun("the ban was answered %d" % status)

    if case.trouble:
        ban = asyncio.create_task(ban_when_new_one_listens())
        await courier.start()
        await ban
    else:
        banned.append(st.now() if await post(old_port, "/-/endpoints/s-1/disable") < 300 else 0)
        await courier.start()
    courier.signal(signal.SIGTERM, old)
    await asyncio.sleep(3.7)
    flow.cancel()
    await asyncio.sleep(1)


st.run(__file__, body)
