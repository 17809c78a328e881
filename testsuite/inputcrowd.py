"""Runs one basilchute-host against callers that send input without limits.

Guards against input or unread responses that fill the memory or the descriptors
of the process. The bounds follow from the settings that the host gets.
"""

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "soak"))

from soak import PREFIX, World, die_with_parent  # noqa: E402
from standins import Store, encode  # noqa: E402
from wire import Client  # noqa: E402

MEMORY_MB = 64
FILE_DESCRIPTORS = 256
# The announced bodies of `unfinished` are within the limit and sum up to more
# than the memory.
MAX_BODY_BYTES = 4 * 1024 * 1024
CALLERS = 24
# One caller sends at most this much, over all its connections.
MAX_SENT_BYTES = 8 * 1024 * 1024
MAX_CONNECTS = 12
IDLE_CONNECTIONS = 400
CROWD_S = 20.0
BLOCKED_S = 1.0

HOST = b"Host: desk.example\r\n"
POST = b"POST " + PREFIX.encode() + b"0123456789abcdef HTTP/1.1\r\n" + HOST
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 65536


def announced(size):
    return POST + b"Content-Length: %d\r\n\r\n" % size


# kind -> (what a connection sends first, what it repeats, bytes per connection)
KINDS = {
    "endless-head": (b"GET / HTTP/1.1\r\n" + HOST, b"X: " + BLOCK + b"\r\n",
                     MAX_SENT_BYTES),
    "long-heads": (b"GET / HTTP/1.1\r\n" + HOST + b"X: " + b"y" * 17000 +
                   b"\r\n\r\n", b"GET /a HTTP/1.1\r\n" + HOST + b"\r\n" * 2,
                   MAX_SENT_BYTES // MAX_CONNECTS),
    "empty-lines": (b"", b"\r\n" * 32768, MAX_SENT_BYTES),
    "endless-trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"T: yyyyyyy\r\n" * 4096,
                         MAX_SENT_BYTES),
    "announced-far-over": (announced(1 << 40), BLOCK, MAX_SENT_BYTES),
    "endless-chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n", MAX_SENT_BYTES),
    "unfinished-bodies": (announced(MAX_BODY_BYTES - 1), BLOCK,
                          MAX_BODY_BYTES - 65536),
    # The response to an unknown path repeats the path.
    "unread-responses": (b"", (b"GET /" + b"z" * 8000 + b" HTTP/1.1\r\n" +
                               HOST + b"\r\n") * 8, MAX_SENT_BYTES),
    "one-byte": (b"G", b"", 0),
}


class Caller(threading.Thread):
    """Sends one kind of input; keeps its connections open until close()."""

    def __init__(self, kind, address, end):
        super().__init__(daemon=True)
        self.first, self.repeated, self.limit = KINDS[kind]
        self.connects = (IDLE_CONNECTIONS // CALLERS + 1 if kind == "one-byte"
                         else MAX_CONNECTS)
        self.address = address
        self.end = end
        self.sockets = []
        self.sent = 0

    def run(self):
        for _ in range(self.connects):
            if self.sent >= MAX_SENT_BYTES or time.monotonic() > self.end:
                return
            try:
                self.fill_connection()
            except TimeoutError:
                # The host has stopped reading: this connection stays open.
                return
            except OSError:
                continue

    def fill_connection(self):
        connection = socket.socket()
        self.sockets.append(connection)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.settimeout(BLOCKED_S)
        connection.connect(self.address)
        connection.sendall(self.first)
        sent = 0
        while sent < self.limit and self.sent < MAX_SENT_BYTES and \
                time.monotonic() < self.end:
            connection.sendall(self.repeated)
            sent += len(self.repeated)
            self.sent += len(self.repeated)

    def close(self):
        for connection in self.sockets:
            connection.close()


def read_peak_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0.0


class Run:
    """One host, its store and the crowd."""

    def __init__(self):
        self.program = os.path.join(os.environ["BIN_DIR"], "basilchute-host")
        self.process = None
        self.most_descriptors = 0

    def settings(self):
        known = subprocess.run([self.program, "--settings-table"], check=True,
                               capture_output=True, text=True).stdout
        # The code that these cases were first run against lacks both settings.
        wanted = {"host.memory_mb": MEMORY_MB,
                  "host.file_descriptors": FILE_DESCRIPTORS}
        return [part for key, value in wanted.items() if key in known
                for part in ("--set", f"{key}={value}")]

    async def start(self):
        store = Store(lambda: {}, random.Random(1), lambda _: None)
        await store.server.start()
        config = World.config()
        config["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        store.apply([(("op", "", "config"), encode(config))], [])
        ports = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        callers, status = (each.getsockname() for each in ports)
        for each in ports:
            each.close()
        values = {"host.id": "edge-1", "listen.callers": "%s:%d" % callers,
                  "listen.status": "%s:%d" % status,
                  "store.address": f"127.0.0.1:{store.server.port}"}
        arguments = [part for key, value in values.items()
                     for part in ("--set", f"{key}={value}")]
        folder = os.path.join(os.environ["WORK_DIR"], "logs")
        os.makedirs(folder, exist_ok=True)
        with open(os.path.join(folder, "host.log"), "wb") as log:
            self.process = subprocess.Popen(
                [self.program, *arguments, *self.settings()], stdout=log,
                stderr=log, preexec_fn=die_with_parent)
        client = Client()
        for _ in range(100):
            if (await client.call(status, "GET",
                                  "/basilchute/readiness"))[0] == 200:
                client.close()
                return callers
            await asyncio.sleep(0.1)
        raise RuntimeError("the host did not become ready")

    def is_alive(self):
        return self.process.poll() is None

    def sample(self):
        if self.is_alive():
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.most_descriptors = max(self.most_descriptors, count)

    async def load(self, kinds, address):
        end = time.monotonic() + CROWD_S
        crowd = [Caller(kinds[number % len(kinds)], address, end)
                 for number in range(CALLERS)]
        for caller in crowd:
            caller.start()
        while any(caller.is_alive() for caller in crowd) and \
                time.monotonic() < end + 2 * BLOCKED_S:
            self.sample()
            await asyncio.sleep(0.02)
        return crowd

    async def judge(self, kinds):
        address = await self.start()
        crowd = await self.load(kinds, address)
        client = Client()
        answer, _ = await client.call(address, "GET", PREFIX + "00000000000000ff",
                                      limit=10.0)
        self.sample()
        is_alive = self.is_alive()
        peak = read_peak_mb(self.process.pid) if is_alive else 0.0
        client.close()
        for caller in crowd:
            caller.close()
        print(f"peak {peak:.1f} MB, descriptors {self.most_descriptors}, "
              f"answer {answer}, sent "
              f"{sum(caller.sent for caller in crowd) >> 20} MB",
              file=sys.stderr)
        print(f"alive {is_alive}")
        print(f"memory within {MEMORY_MB} MB {0 < peak <= MEMORY_MB}")
        print(f"descriptors within {FILE_DESCRIPTORS} "
              f"{0 < self.most_descriptors <= FILE_DESCRIPTORS}")
        print(f"ordinary request answered {answer != 0}")


async def judge(kinds):
    current = Run()
    try:
        await current.judge(kinds)
    finally:
        if current.process:
            current.process.kill()
            current.process.wait()
    # The stand-in's calls that are pending would each report that they ended.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


def run(*kinds):
    asyncio.run(judge(kinds or tuple(KINDS)))
