"""Bad clients: some hundred connections, each with a few requests at once and half of another."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import rig  # noqa: E402

BAD_CONNECTIONS = 300
REQUESTS_AT_ONCE = 4
HEAD = b"GET /up HTTP/1.1\r\nHost: backend.local\r\nX-Note: " + 8000 * b"a"
DEST = 7
TIMEOUT_MS = 3000


async def bad_client(world, opened):
    """Sends at full speed, reads what it is sent, and goes after 3 s."""
    try:
        reader, writer = await asyncio.open_connection(rig.HOST, world.listen)
        opened.append(writer)
        writer.write(REQUESTS_AT_ONCE * (HEAD + b"\r\n\r\n") + HEAD)
        await asyncio.wait_for(reader.read(-1), 3)
    except (OSError, asyncio.TimeoutError):
        pass


async def usual_client(world, number, answers):
    client = None
    for count in range(40):
        message_id = "9b1f03aa%04x%04x" % (number, count)
        try:
            if client is None:
                client = await rig.Client(world.record, f"client{number}", world.listen).connect()
            status = await client.submit(message_id, "schedule-update", DEST, TIMEOUT_MS)
        except OSError as e:
            world.record(f"client{number}", "cannot-connect", id=message_id, why=type(e).__name__)
            status = None
        answers[message_id] = status
        if status is None:
            client = None
        await asyncio.sleep(0.1)


async def case(world, trouble):
    endpoint = await world.endpoint("s-1", DEST, lambda call: call.answer(200))
    courier = await world.start_courier()
    answers = {}
    clients = [asyncio.create_task(usual_client(world, n, answers)) for n in range(3)]
    await asyncio.sleep(1)
    opened = []
    if trouble:
        world.record("bad-client", "connect", connections=BAD_CONNECTIONS,
                     requests_at_once=REQUESTS_AT_ONCE, head_bytes=len(HEAD))
        bad = [asyncio.create_task(bad_client(world, opened)) for _ in range(BAD_CONNECTIONS)]
        await asyncio.gather(*bad)
        world.record("bad-client", "are gone", connected=len(opened))
    await asyncio.gather(*clients)
    await asyncio.sleep(TIMEOUT_MS / 1000 + 0.5)
    status = courier.poll()
    world.record("courier", "at-the-end", exit_status=status)
    broken = []
    if status is not None:
        broken.append(f"the courier has crashed: it ended by itself with status {status}")
        ended = set(endpoint.answered) | {notice["id"] for _, notice in world.platform.notices}
        owed = [m for m, answer in answers.items() if answer in (200, 202) and m not in ended]
        world.record("judge", "owed-at-the-crash", ids=",".join(owed) or "none")
    elif trouble and len(opened) < BAD_CONNECTIONS / 2:
        raise rig.CannotRun("too few of the bad clients could connect")
    return broken


rig.main(FOLDER, case)
