"""A wait is forgotten in an upgrade, after the first endpoint of its destination has been replaced."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import standins as st  # noqa: E402

WAIT_S = 9.0         # a shut partner tells how long to wait, until it opens
SLACK_S = 0.1        # calls that come within 100 ms of the answer are let through
SLOW_S = 7.5         # how long the call at the endpoint that is replaced takes
CLASS = "tariff-order"


async def body(case):
    platform = st.Platform(case)
    await platform.start()
    told = {}

    async def handle(call):
        case.record("call", endpoint=call.endpoint.name, ids=",".join(call.ids))
        if told and told["at"] + SLACK_S < call.first_byte < told["until"]:
            case.rule_broken("%s was called %d ms after the answer that told to wait %d ms" % (
                call.endpoint.name, 1000 * (call.first_byte - told["at"]), 1000 * WAIT_S))
        if call.endpoint.name == "s-1":
            await asyncio.sleep(SLOW_S)
            return 200, {}
        if not told:
            told.update(at=st.now(), until=st.now() + WAIT_S)
            case.record("told to wait", endpoint=call.endpoint.name, seconds=WAIT_S)
        if st.now() < told["until"]:
            return 429, {"Retry-After": "%.3f" % (told["until"] - st.now())}
        return 200, {}

    endpoints = {}
    for name, site in (("s-1", "east-building"), ("s-2", "west-building")):
        endpoints[name] = st.Endpoint(case, name, handle)
        await endpoints[name].start()
        platform.add(name, endpoints[name].port, 7, kind="installer", site=site)
    courier = st.Courier(case, "n0", platform, st.settings([st.keyed(), st.safe()]), operator=True)
    old = await courier.start()
    await asyncio.sleep(1)
    client = st.Client(case, courier)

    async def hand_in():
        if await client.hand_in(st.Message(7, CLASS, 16000, "%032x" % int(1e9 * st.now()))) != 202:
            raise st.CannotRun("a message was not taken on")

    await hand_in()              # goes to the near endpoint, which works on it
    await asyncio.sleep(0.3)
    # The near endpoint is replaced: it finishes what it has, and is removed from the list.
    platform.change("s-1", "Terminating")
    await asyncio.sleep(0.2)
    if case.trouble:
        platform.change("s-1", "Gone")
        await asyncio.sleep(0.2)
    await hand_in()              # goes to the other endpoint, which tells to wait
    await asyncio.sleep(0.5)
    if not told:
        raise st.CannotRun("nobody was told to wait")
    await courier.start()        # a new version beside the one that serves
    courier.signal(signal.SIGTERM, old)
    await asyncio.sleep(3.7)
    if old.returncode is None:
        courier.signal(signal.SIGKILL, old)
    await asyncio.sleep(max(0, told["until"] - st.now()) + 3)


st.run(__file__, body)
