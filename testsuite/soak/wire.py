"""HTTP/1.1 over plain TCP for the soak: a server whose exchanges can be made to
go wrong at any point, and a client with kept connections."""

import asyncio
import os
import re
import socket
import struct
import urllib.parse

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Of the kernel's interface sock_diag(7).
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xffffffff
NO_COOKIE = 0xffffffff
INODE_AT = 68


class Rule:
    """What goes wrong at a server while the rule is active.

    kind: before, unread, undone, done, middle (the exchange ends there), late (carried
    out later, no answer), silent (nothing is read any more), mute (carried out,
    no answer), slow, refuse.
    """

    def __init__(self, kind, random, hosts=None, chance=1.0, status=503,
                 refuse_for=0.0, delay=(0.1, 3.0)):
        self.kind = kind
        self.random = random
        self.hosts = hosts
        self.chance = chance
        self.status = status
        self.refuse_for = refuse_for
        self.delay = delay
        self.refused = {}
        self.hits = 0

    def applies(self, host):
        if self.hosts is not None and host not in self.hosts:
            return False
        return self.random.random() < self.chance

    def refuse_copies(self, call, now):
        if self.refuse_for:
            self.refused[call.copy_key] = now + self.refuse_for


class Call:
    """A request that a server has read."""

    def __init__(self, method, target, headers, body, host):
        self.method = method
        path, _, query = target.partition("?")
        self.path = urllib.parse.unquote(path)
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body
        self.host = host
        self.is_late = False
        self.copy_key = (method, target, body)

    def text(self):
        """Names the call and the task or the job whose row it writes."""
        rows = b" ".join(re.findall(rb'"(?:task|key)":\s*"([^"]*)"', self.body))
        return (f"{self.method} {self.path} by {self.host} "
                f"{rows[:120].decode('latin-1')}")


async def read_message(reader):
    """Returns (first line, headers, body); raises at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return first, headers, await reader.readexactly(length) if length else b""


def reset(writer):
    """Ends the connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def end(writer, random):
    """Ends the connection with a reset, or as a process does that ends."""
    if random.random() < 0.6:
        reset(writer)
    else:
        writer.close()


OWNERS = {}  # inode of a socket -> name and process of its host


def socket_inodes(pid):
    out = set()
    try:
        for fd in os.listdir(f"/proc/{pid}/fd"):
            try:
                link = os.readlink(f"/proc/{pid}/fd/{fd}")
            except OSError:
                continue
            if link.startswith("socket:["):
                out.add(link[8:-1])
    except OSError:
        pass
    return out


def inode_of(peer, own):
    """Asks the kernel (sock_diag) for the inode of the connection's other end.

    /proc/net/tcp tells the same, but takes 15 ms with thousands of connections.
    """
    query = struct.pack(">HH4s12x4s12x", peer[1], own[1],
                        socket.inet_aton(peer[0]), socket.inet_aton(own[0]))
    query += struct.pack("=III", 0, NO_COOKIE, NO_COOKIE)
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                       ALL_STATES) + query
    head = struct.pack("=IHHII", 16 + len(body), SOCK_DIAG_BY_FAMILY,
                       NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW,
                       NETLINK_SOCK_DIAG) as kernel:
        kernel.send(head + body)
        answer = kernel.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return None
    return str(struct.unpack_from("=I", answer, 16 + INODE_AT)[0])


def peer_of(peer, own, hosts):
    """Returns the name of the host that has the other end of a connection, or
    None.

    The sockets of all hosts are read at once: after a fault many connections
    come at the same time.
    """
    inode, pids = inode_of(peer, own), hosts()
    name, pid = OWNERS.get(inode, ("", 0))
    if not pid or pids.get(name) != pid:
        OWNERS.clear()
        for name, pid in pids.items():
            OWNERS.update(dict.fromkeys(socket_inodes(pid) if pid else (),
                                        (name, pid)))
    return OWNERS.get(inode, (None, 0))[0]


class Connection:
    def __init__(self, reader, writer, host):
        self.reader = reader
        self.writer = writer
        self.host = host
        self.calls = 0
        self.is_busy = False
        self.is_silent = False
        self.is_lost = False


class Server:
    """Serves a stand-in; handle(call) returns (status, body) or None for a
    connection that just ends."""

    def __init__(self, handle, hosts, random, log):
        self.handle = handle
        self.log = log
        self.hosts = hosts
        self.random = random
        self.rules = []
        self.connections = set()
        self.port = 0
        self.listener = None
        self.tasks = set()
        self.when_idle = None
        self.is_cut = False
        self.may_accept = asyncio.Event()
        self.may_accept.set()

    async def start(self, port=0):
        """Listens on the port if it is free, otherwise on another."""
        try:
            self.listener = await asyncio.start_server(
                self.serve, "127.0.0.1", port, limit=4 << 20)
        except OSError:
            self.listener = await asyncio.start_server(
                self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the listener and all connections, as a crash does."""
        if self.listener:
            self.listener.close()
        for connection in list(self.connections):
            reset(connection.writer)
        for task in list(self.tasks):
            task.cancel()

    def end_connections(self):
        """Ends all connections as a process does that ends; listens on."""
        for connection in list(self.connections):
            connection.writer.close()
        for task in list(self.tasks):
            task.cancel()

    def lose_connections(self):
        """Loses calls in flight as a machine does that crashes: their callers
        learn of it from the next call. The other connections end."""
        for connection in list(self.connections):
            if connection.is_busy:
                connection.is_lost = connection.is_silent = True
            else:
                connection.writer.close()
        for task in list(self.tasks):
            task.cancel()

    def cut(self):
        """Nothing is read or answered any more until mend(); the connections
        that are open stay silent for good."""
        self.is_cut = True
        self.silence({each.host for each in self.connections})

    def mend(self):
        self.is_cut = False

    def end_kept(self, rule):
        """Ends connections that wait for their next call."""
        if self.is_cut:
            return
        for connection in list(self.connections):
            if connection.calls and not connection.is_busy and \
                    rule.applies(connection.host):
                end(connection.writer, self.random)

    def silence(self, hosts):
        """Lets the present connections of these hosts go silent for good, also
        those with a call in flight; new ones work."""
        for connection in self.connections:
            if connection.host in hosts:
                connection.is_silent = True

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peer = writer.get_extra_info("peername")
        if peer is None:
            return
        connection = Connection(reader, writer, peer_of(peer, writer.get_extra_info(
            "sockname"), self.hosts))
        # The kernel accepts also while the process is down, so that the next
        # one reads calls that were meant for its predecessor.
        await self.may_accept.wait()
        self.connections.add(connection)
        try:
            while await self.exchange(connection):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling() == 0:
                raise
        finally:
            self.connections.discard(connection)
            writer.close()

    async def exchange(self, connection):
        first, headers, body = await read_message(connection.reader)
        if connection.writer.is_closing():
            return False
        if connection.is_lost and not self.is_cut:
            await self.may_accept.wait()
            reset(connection.writer)
            return False
        connection.is_silent |= self.is_cut
        if connection.is_silent:
            return True
        method, target, _ = first.split(" ", 2)
        call = Call(method, target, headers, body, connection.host)
        connection.is_busy = True
        connection.calls += 1
        now = asyncio.get_running_loop().time()
        for rule in self.rules:
            if now < rule.refused.get(call.copy_key, 0):
                self.log(f"{self.port}: {rule.status} for the copy of "
                         f"{call.text()}")
                return self.answer(connection, rule.status, "{}")
        for rule in self.rules:
            if rule.kind in ("before", "undone", "done", "middle") and \
                    connection.calls < 2:
                continue
            if rule.applies(call.host):
                rule.hits += 1
                self.log(f"{self.port}: {rule.kind} {call.text()}")
                return await self.spoil(rule, connection, call)
        result = await self.handle(call)
        if result is None:
            return connection.is_lost
        return self.answer(connection, *result)

    def answer(self, connection, status, body):
        if connection.is_silent:
            return True
        data = body.encode() if isinstance(body, str) else body
        connection.writer.write(self.head(status, data) + data)
        connection.is_busy = False
        if self.when_idle and self.is_idle():
            act, self.when_idle = self.when_idle, None
            act()
        return True

    def is_idle(self):
        return not any(each.is_busy and not each.is_silent
                       for each in self.connections)

    async def between_calls(self, act, limit):
        """Acts as soon as no call is in flight, or at the limit."""
        if self.is_idle():
            act()
            return
        acted = asyncio.Event()
        self.when_idle = lambda: (act(), acted.set())
        try:
            await asyncio.wait_for(acted.wait(), limit)
        except TimeoutError:
            self.when_idle = None
            act()

    @staticmethod
    def head(status, data):
        return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n").encode()

    async def spoil(self, rule, connection, call):
        kind = rule.kind
        if kind == "refuse":
            return self.answer(connection, rule.status, "{}")
        if kind == "silent":
            connection.is_silent = True
            return True
        if kind == "late":
            connection.is_silent = True
            self.spawn(self.carry_out_late(call, rule.random.uniform(*rule.delay)))
            return True
        if kind in ("before", "undone", "cut"):
            rule.refuse_copies(call, asyncio.get_running_loop().time())
            end(connection.writer, rule.random)
            return False
        result = await self.handle(call)
        if result is None:
            return connection.is_lost
        if kind == "mute":
            connection.is_silent = True
            return True
        if kind == "slow":
            await asyncio.sleep(rule.random.uniform(*rule.delay) / 2)
            return self.answer(connection, *result)
        rule.refuse_copies(call, asyncio.get_running_loop().time())
        if kind == "middle":
            data = result[1].encode()
            whole = self.head(result[0], data) + data
            connection.writer.write(whole[:rule.random.randrange(1, len(whole))])
            await asyncio.sleep(0.02)
        end(connection.writer, rule.random)
        return False

    async def carry_out_late(self, call, delay):
        await asyncio.sleep(delay)
        call.is_late = True
        await self.handle(call)


class Client:
    """Calls of one client to hosts, over connections that it keeps."""

    def __init__(self):
        self.kept = {}

    async def call(self, address, method, path, body=b"", limit=3.0):
        """Returns (status, body); status 0 means that no answer came."""
        connection = self.kept.pop(address, None)
        try:
            async with asyncio.timeout(limit):
                if connection is None:
                    connection = await asyncio.open_connection(*address)
                reader, writer = connection
                writer.write(
                    (f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\n"
                     f"Content-Type: application/json\r\nTimeout-Remaining: "
                     f"{int(limit * 1000)}\r\nContent-Length: {len(body)}\r\n"
                     "\r\n").encode() + body)
                first, headers, data = await read_message(reader)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            if connection is not None:
                connection[1].close()
            return 0, b""
        if headers.get("connection", "").lower() == "close":
            connection[1].close()
        else:
            self.kept[address] = connection
        return int(first.split(" ")[1]), data

    def close(self):
        for _, writer in self.kept.values():
            writer.close()
