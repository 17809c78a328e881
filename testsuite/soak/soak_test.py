#!/usr/bin/env python3
"""Tests of the soak's options and of the plan for its size."""

import asyncio
import io
import json
import os
import random
import socket
import time
import unittest
from contextlib import redirect_stderr

from plan import make_plan
from soak import parse
from standins import Store
from wire import peer_of


class SoakTest(unittest.TestCase):
    def test_the_usual_size_is_the_default(self):
        options = parse(["host", "7", "45"])
        self.assertEqual((options.hosts, options.workers, options.clients),
                         (4, 7, 6))
        self.assertEqual((options.program, options.seed, options.seconds),
                         ("host", 7, 45.0))

    def test_the_size_can_be_given(self):
        options = parse(["host", "7", "45", "--hosts", "40", "--workers", "60",
                         "--clients", "30"])
        self.assertEqual((options.hosts, options.workers, options.clients),
                         (40, 60, 30))

    def test_more_hosts_than_addresses_are_refused(self):
        for arguments in (["--hosts", "255"], ["--hosts", "1"],
                          ["--workers", "x"]):
            with self.assertRaises(SystemExit) as end, \
                    redirect_stderr(io.StringIO()):
                parse(["host", "7", "45"] + arguments)
            self.assertEqual(end.exception.code, 2)

    def test_faults_reach_all_hosts_and_workers_of_a_large_run(self):
        plan = make_plan(random.Random(1), 2000, 40, 60, True)
        hosts = {number for fault in plan if fault.group in ("host", "store")
                 for number in fault.targets}
        workers = {number for fault in plan if fault.group in ("worker", "life")
                   for number in fault.targets}
        self.assertEqual(hosts, set(range(40)))
        self.assertEqual(workers, set(range(60)))

    def test_the_owner_of_a_connection_is_found(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            with socket.create_connection(server.getsockname()) as client:
                kept, peer = server.accept()
                own = kept.getsockname()
                self.assertEqual(peer, client.getsockname())
                self.assertEqual(peer_of(peer, own, lambda: {
                    "none": 0, "other": os.getppid(), "me": os.getpid()}), "me")
                self.assertIsNone(peer_of(peer, own, lambda: {
                    "other": os.getppid()}))
                kept.close()
            self.assertIsNone(peer_of(("127.0.0.1", 1), own, lambda: {
                "me": os.getpid()}))

    def test_a_feed_is_answered_at_a_change_of_its_table_only(self):
        async def feed(store, act):
            task = asyncio.ensure_future(store.feed(
                {"table": "a", "after": str(store.version), "wait_ms": "300"}))
            await asyncio.sleep(0.05)
            act(store)
            began = time.monotonic()
            status, body = await task
            return status, json.loads(body).get("rows"), time.monotonic() - began

        def change(table):
            return lambda store: store.apply([((table, "", "k"), "v")], [])

        def end(store):
            store.is_down += 1
            store.wake()

        async def check():
            store = Store(dict, random.Random(1), print)
            _, rows, took = await feed(store, change("b"))
            self.assertEqual(rows, [])
            self.assertGreater(took, 0.2)
            _, rows, took = await feed(store, change("a"))
            self.assertEqual([row["key"] for row in rows], ["k"])
            self.assertLess(took, 0.2)
            status, _, took = await feed(store, end)
            self.assertEqual(status, 503)
            self.assertLess(took, 0.2)

        asyncio.run(check())


if __name__ == "__main__":
    unittest.main()
