"""Spoilt answers to messages that may not be repeated: each has run, and is handed back."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import rig  # noqa: E402

CLASS = "meter-switch"  # its effect is 'side_effect' in the settings: not safe to repeat
DEST = 7
TIMEOUT_MS = 5000
STATUS_LINE = b"HTTP/1.1 504 Gateway Timeout\r\n"
SPOILT = {
    "lengths that don't fit": STATUS_LINE + b"Content-Length: 12, 90\r\n\r\nnot in time",
    "a head that can't be read": STATUS_LINE + b"\x00\x13\x7f Content-Le\x01ngth\r\n: 0\r\n\r\n",
    "a head that doesn't end": STATUS_LINE + b"Content-Type: text/plain\r\nX-Trace: 9b1f03aa",
}
ORDERS = {b"order %d" % number: kind for number, kind in enumerate(SPOILT, start=1)}


async def case(world, trouble):
    runs = {}  # how often the effect of each order took place

    async def handle(call):
        _, _, body = call.messages[0]
        await asyncio.sleep(0.05)
        runs[body] = runs.get(body, 0) + 1
        world.record(call.endpoint.name, "has-run", call=call.number, order=body.decode())
        if trouble and runs[body] == 1:
            kind = ORDERS[body]
            world.record(call.endpoint.name, "spoilt-answer", call=call.number, kind=repr(kind),
                         bytes=repr(SPOILT[kind]))
            call.writer.write(SPOILT[kind])  # the connection stays open
        else:
            call.answer(200)

    await world.endpoint("s-1", DEST, handle)
    await world.start_courier()
    client = await rig.Client(world.record, "client", world.listen).connect()
    ids = {}
    for number, body in enumerate(ORDERS, start=1):
        message_id = "9b1f03aa5c7e2d%02x" % number
        if await client.submit(message_id, CLASS, DEST, TIMEOUT_MS, body=body) not in (200, 202):
            raise rig.CannotRun("not every message was taken on")
        ids[message_id] = body
        await asyncio.sleep(1)
    # After a refusal the client hands the message in again, once, when it was told to come.
    again = set()
    tasks = []

    async def hand_in_again(notice):
        await asyncio.sleep(notice.get("again_ms", 0) / 1000)
        other = await rig.Client(world.record, "client", world.listen).connect()
        await other.submit("9b1f03aa5c7e2e" + notice["id"][-2:], CLASS, DEST, TIMEOUT_MS,
                           body=ids[notice["id"]], retried="1")

    for _ in range(int((TIMEOUT_MS / 1000 + 1) / 0.05)):
        for _, notice in list(world.platform.notices):
            if notice["status"] == "deferred" and notice["id"] in ids and notice["id"] not in again:
                again.add(notice["id"])
                tasks.append(asyncio.create_task(hand_in_again(notice)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    broken = []
    for message_id, body in ids.items():
        if runs.get(body, 0) > 1:
            broken.append(f"{body.decode()} ran {runs[body]} times: after {ORDERS[body]!r}, "
                          f"{message_id} was ended as deferred, which says that it never ran")
    return broken


rig.main(FOLDER, case)
