"""A new configuration comes in an upgrade; the new process reports to the address of the old one."""

import asyncio
import json
import os
import secrets
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import standins as st  # noqa: E402

TIMEOUT_S = 5.0
DUE_S = TIMEOUT_S + 0.3 + 0.05     # 300 ms after its time is up; each time limit is 50 ms longer


async def body(case):
    first = st.Platform(case)
    await first.start()

    async def handle(call):
        case.record("call", endpoint=call.endpoint.name, ids=",".join(call.ids))
        return None                # this partner is silent, in each run

    endpoint = st.Endpoint(case, "s-1", handle)
    await endpoint.start()
    first.add("s-1", endpoint.port, 7, kind="installer")
    second = st.Platform(case)     # where discovery moves; its versions are its own
    second.hosts = first.hosts
    second.seq = 900
    await second.start()
    ends = {}                      # id: when its notice came

    def on_notice(notice):
        case.record("notice", **notice)
        ends.setdefault(notice["id"], st.now())

    case.on_notice = on_notice
    courier = st.Courier(case, "n0", first, st.settings([st.keyed(), st.safe()]), operator=True)
    old = await courier.start()
    old_port = courier.operator_port
    await asyncio.sleep(1.5)       # no SIGHUP in its first second

    async def move_discovery():
        while True:                # the new process runs, and is not ready yet
            if courier.operator_port != old_port:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", courier.operator_port)
                    writer.close()
                    break
                except OSError:
                    pass
            await asyncio.sleep(0.005)
        path = os.path.join(courier.folder, "config.json")
        with open(path, encoding="utf-8") as file:
            config = json.load(file)
        config["discovery"] = "127.0.0.1:%d" % second.port
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        courier.signal(signal.SIGHUP, old)
        first.server.close()       # the old address takes no new connection
        await asyncio.sleep(1.5)
        for writer in list(first.watches):
            writer.transport.abort()

    move = asyncio.create_task(move_discovery()) if case.trouble else None
    await courier.start()          # a new version beside the one that serves
    courier.signal(signal.SIGTERM, old)
    client = st.Client(case, courier)
    messages = []
    for number in range(6):
        klass = ("schedule-update", "tariff-order")[number % 2]
        message = st.Message(7, klass, int(1000 * TIMEOUT_S),
                             secrets.token_hex(16) if number % 2 else None)
        messages.append(message)
        await client.hand_in(message)
        await asyncio.sleep(0.2)
    await asyncio.sleep(2.5)
    if old.returncode is None:     # SIGKILL comes 3.7 s after SIGTERM
        courier.signal(signal.SIGKILL, old)
    await asyncio.sleep(max(message.sent for message in messages) + DUE_S + 4 - st.now())
    if move:
        await move
    taken_on = [message for message in messages if message.status == 202]
    if len(taken_on) < 3:
        raise st.CannotRun("too few messages were taken on")
    for message in taken_on:
        ended = ends.get(message.id)
        if ended is None or ended > message.sent + DUE_S:
            case.rule_broken("message %s (%s) was taken on, was not delivered, and has %s" % (
                message.id, message.klass,
                "no notice %.1f s after its time" % (st.now() - message.sent - TIMEOUT_S)
                if ended is None
                else "a notice %.2f s after its time" % (ended - message.sent - TIMEOUT_S)))


st.run(__file__, body)
