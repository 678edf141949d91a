"""A copy behind an answer ends the next message, whose call the endpoint never reads."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import standins as st  # noqa: E402

LATENCY_S = 0.045    # one way between the buildings
JITTER_S = 0.015     # a third of it
WORK_S = 0.1
TIMEOUT_MS = 5000


class Relay:
    """The network between the courier and an endpoint: what is sent arrives LATENCY_S later."""

    def __init__(self, port):
        self.to = port

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError:
            writer.transport.abort()
            return

        async def pump(source, target, jitter):
            queue = asyncio.Queue()

            async def deliver():
                while True:
                    due, data = await queue.get()
                    await asyncio.sleep(max(0, due - st.now()))
                    if not data:
                        target.close()
                        return
                    target.write(data)

            task = asyncio.create_task(deliver())
            while True:
                try:
                    data = await source.read(65536)
                except ConnectionError:
                    data = b""
                late = JITTER_S if jitter and data.startswith(COPY) else 0
                await queue.put((st.now() + LATENCY_S + late, data))
                if not data:
                    break
            await task

        await asyncio.gather(pump(reader, far_writer, False), pump(far_reader, writer, True),
                             return_exceptions=True)


COPY = b"HTTP/1.1 200 OK\r\nX-Copy: 1\r\n"


async def body(case):
    platform = st.Platform(case)
    await platform.start()
    ran = set()
    troubles = []

    class Closing(st.Endpoint):
        async def serve(self, reader, writer):
            served = 0
            try:
                while True:
                    head = await st.read_head(reader)
                    if head is None:
                        return
                    message_id = head[1].get("x-request-id")
                    await st.read_body(reader, head[1])
                    case.record("call", endpoint=self.name, id=message_id)
                    await asyncio.sleep(WORK_S)
                    ran.add(message_id)
                    served += 1
                    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                    writer.write(answer)
                    await writer.drain()
                    if case.trouble and served == 2 and len(troubles) < 4:
                        # A second copy right behind the answer, while nothing else waits here;
                        # then the endpoint closes the connection, which is idle.
                        troubles.append(message_id)
                        await asyncio.sleep(0.001)
                        writer.write(COPY + b"Content-Length: 0\r\n\r\n")
                        await writer.drain()
                        case.record("copy and close", endpoint=self.name, id=message_id)
                        return
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

    for name in ("s-1",):
        endpoint = Closing(case, name, None)
        await endpoint.start()
        relay = Relay(endpoint.port)
        await relay.start()
        platform.add(name, relay.port, 7, kind="installer")
    courier = st.Courier(case, "n0", platform, st.settings([st.keyed(), st.safe()], calls_out=3))
    await courier.start()
    client = st.Client(case, courier)
    ended = set()

    def on_notice(notice):
        case.record("notice", **notice)
        ended.add(notice["id"])

    case.on_notice = on_notice
    messages = []
    for _ in range(16):
        for _ in range(5):   # some wait, so that a connection is used again at once
            message = st.Message(7, "schedule-update", TIMEOUT_MS)
            messages.append(message)
            await client.hand_in(message)
        await asyncio.sleep(1.2)
    await asyncio.sleep(TIMEOUT_MS / 1000 + 0.35)
    for message in messages:
        if message.status == 202 and message.id not in ran and message.id not in ended:
            case.rule_broken("message %s was taken on, never ran, and has no notice %.0f ms after "
                             "its time" % (message.id,
                                           1000 * (st.now() - message.sent) - TIMEOUT_MS))


st.run(__file__, body)
