#!/usr/bin/env python3
"""Tests of the soak's options and of the plan for its size."""

import asyncio
import io
import json
import os
import random
import socket
import time
import types
import unittest
from contextlib import redirect_stderr
from unittest import mock

from plan import Fault, Player, make_plan
from soak import parse
from judge import Judge, Step, Submission
from standins import Store, Worker
from wire import Client, Server, peer_of, read_message

TASK = "00000000000000aa.0.0.0"


class Workers:
    """Two workers, and an owner of their shard that polls the first."""

    def __init__(self):
        self.judge = Judge(2, io.StringIO())
        self.judge.submissions[TASK.split(".")[0]] = Submission(
            TASK.split(".")[0], "spec", [Step(1, 500, 0.01)])
        self.store = Store(dict, random.Random(1), print)
        self.first, self.other = (Worker(name, self.store, self.judge, dict,
                                         random.Random(1))
                                  for name in ("w1", "w2"))

    async def start(self):
        await self.first.start()
        await self.other.start()
        self.address = ("127.0.0.1", self.first.server.port)
        self.reader, self.writer = await asyncio.open_connection(*self.address)

    async def call(self, path, limit=3.0, **fields):
        """Calls on a new connection."""
        client = Client()
        body = json.dumps(fields | {"fencing_token": 1}).encode()
        status, data = await client.call(self.address, "POST",
                                         "/basilchute/" + path, body, limit)
        client.close()
        return status, json.loads(data or "{}")

    async def poll(self, last_seen, wait_ms=0):
        """Polls on the kept connection."""
        body = json.dumps({"fencing_token": 1, "last_seen": last_seen,
                           "wait_ms": wait_ms}).encode()
        self.writer.write(b"POST /basilchute/hold HTTP/1.1\r\n"
                          b"Expected-Instance: w1\r\nContent-Length: "
                          + str(len(body)).encode() + b"\r\n\r\n" + body)
        _, _, data = await read_message(self.reader)
        return json.loads(data)

    async def start_task(self, run=1, lease_ms=5000, limit=3.0):
        """Orders a run; the lease ends on the clock of the present process."""
        return await self.call("run-start", limit, task=TASK, run=run,
                               spec="spec",
                               deadline_ms=self.first.clock() + lease_ms)

    async def run_task(self, run=1):
        await self.start_task(run)
        await asyncio.sleep(0.2)

    def broken(self):
        return [rule for rule, _ in self.judge.violations]

    def stop(self):
        self.writer.close()
        self.first.crash()
        self.other.crash()


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

    def test_workers_start_again_in_each_plan(self):
        for is_dense in (False, True):
            plan = make_plan(random.Random(1), 45, 4, 7, is_dense)
            kinds = {fault.kind for fault in plan if fault.group == "life"}
            self.assertLessEqual({"restart", "move"}, kinds)

    def test_connections_go_silent_beside_configurations_in_each_plan(self):
        for is_dense in (False, True):
            plan = make_plan(random.Random(1), 45, 4, 7, is_dense)
            self.assertLessEqual({"config", "kept"},
                                 {fault.group for fault in plan})

    def test_workers_start_again_and_are_cut_off_in_each_plan(self):
        for is_dense in (False, True):
            plan = make_plan(random.Random(1), 45, 4, 7, is_dense)
            found = [fault for fault in plan if fault.group == "reborn"]
            self.assertGreaterEqual(len(found), 3)
            for fault in found:
                self.assertGreaterEqual(fault.duration, 3)
            with mock.patch("plan.make_rebirths", return_value=[]):
                others = make_plan(random.Random(1), 45, 4, 7, is_dense)
            self.assertEqual([fault.text() for fault in others],
                             [fault.text() for fault in plan
                              if fault.group != "reborn"])

    def test_zones_are_evacuated_in_each_plan(self):
        for is_dense in (False, True):
            plan = make_plan(random.Random(1), 45, 4, 7, is_dense)
            found = [fault for fault in plan if fault.group == "evacuate"]
            self.assertGreaterEqual(len(found), 3)
            for fault, following in zip(found, found[1:]):
                self.assertGreater(fault.duration, 5)
                self.assertLessEqual(fault.at + fault.duration, following.at)
            with mock.patch("plan.make_evacuations", return_value=[]):
                others = make_plan(random.Random(1), 45, 4, 7, is_dense)
            self.assertEqual([fault.text() for fault in others],
                             [fault.text() for fault in plan
                              if fault.group != "evacuate"])

    def test_an_evacuation_is_a_row_until_it_is_taken_back(self):
        async def check():
            bed = Workers()
            player = Player(types.SimpleNamespace(store=bed.store,
                                                  judge=bed.judge),
                            random.Random(1))
            task = asyncio.ensure_future(
                player.evacuate(Fault(0, 0.05, "evacuate", "zone", [1], {})))
            await asyncio.sleep(0)
            address = ("op", "", "evacuate/zone-b")
            self.assertIn(address, bed.store.rows)
            self.assertEqual(list(bed.judge.evacuations), ["zone-b"])
            await task
            self.assertNotIn(address, bed.store.rows)
            self.assertTrue(bed.store.changes("op", 0)[-1]["deleted"])
            self.assertEqual(bed.judge.evacuations, {})

        asyncio.run(check())

    def test_a_host_knows_an_evacuation_once_it_asks_for_later_changes(self):
        async def check():
            store = Store(dict, random.Random(1), print)
            store.evacuate("zone-a")
            for after, is_known in ((store.version - 1, False),
                                    (store.version, True)):
                await store.serve(types.SimpleNamespace(
                    path="/basilchute/rows-feed", host="a",
                    query={"table": "op", "after": str(after),
                           "wait_ms": "0"}))
                self.assertEqual(store.is_evacuation_known("zone-a", "a"),
                                 is_known)
            self.assertFalse(store.is_evacuation_known("zone-a", "b"))
            self.assertFalse(store.is_evacuation_known("zone-b", "a"))
            store.take_back("zone-a")
            self.assertFalse(store.is_evacuation_known("zone-a", "a"))

        asyncio.run(check())

    def test_a_start_in_an_evacuated_zone_is_noticed(self):
        async def check():
            bed = Workers()
            await bed.start()
            bed.judge.evacuated("zone-a")
            bed.judge.evacuations["zone-a"] -= 6
            await bed.start_task()
            self.assertEqual(bed.broken(), ["EVACUATED"])
            bed.stop()

        asyncio.run(check())

    def test_the_host_with_the_last_call_is_the_owner(self):
        bed = Workers()
        world = types.SimpleNamespace(
            judge=bed.judge, workers=[bed.first, bed.other],
            hosts=[types.SimpleNamespace(name=name) for name in "abc"])
        player = Player(world, random.Random(1))
        bed.judge.now = lambda: 100.0
        self.assertIsNone(player.owner([bed.first]))
        bed.other.ordered = {"c": 99.5}
        self.assertEqual(player.owner([bed.first]), 2)
        bed.first.ordered = {"a": 99.1, "b": 99.3, None: 99.9}
        self.assertEqual(player.owner([bed.first]), 1)
        bed.judge.now = lambda: 101.0
        self.assertIsNone(player.owner([bed.first]))

    def test_the_clock_of_a_first_process_is_far_ahead(self):
        async def check():
            bed = Workers()
            await bed.start()
            former = await bed.poll(0)
            self.assertGreater(former["clock_ms"], 900000)
            self.assertLess(former["born"], time.time() * 1000 - 900000)
            await bed.first.start_again(0)
            _, answer = await bed.call("hold", last_seen=0)
            self.assertLess(answer["clock_ms"], 1000)
            self.assertGreater(answer["born"], time.time() * 1000 - 1000)
            bed.stop()

        asyncio.run(check())

    def test_a_start_that_is_rejected_as_old_extends_the_lease(self):
        async def check():
            bed = Workers()
            await bed.start()
            await bed.start_task(lease_ms=1000)
            await asyncio.sleep(0.2)
            status, answer = await bed.start_task(lease_ms=2 * bed.first.max_hold_ms)
            self.assertEqual((status, answer["reason"]), (409, "old"))
            left = bed.first.lease_ms - bed.first.clock()
            self.assertLessEqual(left, bed.first.max_hold_ms)
            self.assertGreater(left, bed.first.max_hold_ms - 500)
            bed.stop()

        asyncio.run(check())

    def test_a_call_made_while_a_worker_is_down_reaches_its_next_process(self):
        async def check():
            bed = Workers()
            bed.judge.step_of(TASK).work_s = 10
            await bed.start()
            await bed.start_task()
            again = asyncio.ensure_future(bed.first.start_again(0.4))
            await asyncio.sleep(0.05)
            self.assertEqual(await bed.reader.read(), b"")
            self.assertEqual(bed.judge.runs[TASK][0].how, "crashed")
            # The caller has given up before the next process reads the call.
            status, _ = await bed.start_task(run=2, limit=0.1)
            self.assertEqual((status, len(bed.first.runs)), (0, 0))
            await again
            await asyncio.sleep(0.1)
            self.assertEqual(list(bed.first.runs), [(TASK, 2)])
            # The end of the lease was meant on the former clock.
            left = bed.first.lease_ms - bed.first.clock()
            self.assertLessEqual(left, bed.first.max_hold_ms)
            self.assertGreater(left, bed.first.max_hold_ms - 500)
            self.assertEqual(bed.broken(), [])
            bed.stop()

        asyncio.run(check())

    def test_a_call_to_a_machine_that_crashes_ends_at_the_next_call(self):
        async def check():
            bed = Workers()
            await bed.start()
            idle, writer = await asyncio.open_connection(*bed.address)
            poll = asyncio.ensure_future(bed.poll(0, wait_ms=100))
            await asyncio.sleep(0.05)
            again = asyncio.ensure_future(bed.first.start_again(0.2, False))
            self.assertEqual(await idle.read(), b"")
            writer.close()
            await asyncio.sleep(0.4)
            await again
            self.assertFalse(poll.done())
            poll.cancel()
            await asyncio.sleep(0)
            with self.assertRaises((ConnectionError,
                                    asyncio.IncompleteReadError)):
                await bed.poll(0)
            self.assertEqual((await bed.call("hold"))[0], 200)
            bed.stop()

        asyncio.run(check())

    def test_a_worker_that_is_cut_off_works_on_and_answers_nothing(self):
        async def check():
            bed = Workers()
            bed.judge.step_of(TASK).work_s = 10
            await bed.start()
            await bed.start_task(lease_ms=800)
            poll = asyncio.ensure_future(bed.poll(0, wait_ms=100))
            await asyncio.sleep(0.05)
            bed.first.cut_off()
            self.assertEqual(await bed.call("hold", limit=0.2), (0, {}))
            self.assertFalse(poll.done())
            bed.first.mend()
            self.assertEqual((await bed.call("hold"))[0], 200)
            self.assertFalse(poll.done())
            bed.address = ("127.0.0.1", bed.other.server.port)
            await bed.start_task(run=2)
            self.assertEqual(bed.broken(), ["TWICE"])
            poll.cancel()
            bed.stop()

        asyncio.run(check())

    def test_a_run_on_a_worker_that_is_cut_off_ends_with_its_lease(self):
        async def check():
            bed = Workers()
            bed.judge.step_of(TASK).work_s = 10
            await bed.start()
            await bed.start_task(lease_ms=300)
            bed.first.cut_off()
            await asyncio.sleep(0.5)
            self.assertEqual(bed.judge.runs[TASK][0].how, "lapsed")
            bed.address = ("127.0.0.1", bed.other.server.port)
            await bed.start_task(run=2)
            self.assertEqual(bed.broken(), [])
            bed.stop()

        asyncio.run(check())

    def test_a_silenced_connection_is_not_answered_and_a_new_one_is(self):
        async def check():
            async def handle(call):
                await asyncio.sleep(0.1)
                return 200, "{}"

            server = Server(handle, lambda: {}, random.Random(1), print)
            await server.start()
            address = "127.0.0.1", server.port
            client = Client()
            call = asyncio.ensure_future(client.call(address, "GET", "/", limit=1))
            await asyncio.sleep(0.05)
            server.silence({None})
            self.assertEqual((await call)[0], 0)
            self.assertEqual((await client.call(address, "GET", "/"))[0], 200)
            client.close()
            server.stop()

        asyncio.run(check())

    def test_a_restart_ends_connections_between_two_polls(self):
        async def check():
            bed = Workers()
            await bed.start()
            born = (await bed.poll(0))["born"]
            poll = asyncio.ensure_future(bed.poll(0, wait_ms=100))
            await asyncio.sleep(0.05)
            restart = asyncio.ensure_future(bed.first.restart())
            # The poll that is in flight gets its answer from the same process.
            self.assertEqual((await poll)["born"], born)
            self.assertEqual(await bed.reader.read(), b"")
            await restart
            status, answer = await bed.call("hold", last_seen=0)
            self.assertEqual(status, 200)
            self.assertGreater(answer["born"], born)
            bed.stop()

        asyncio.run(check())

    def test_a_worker_of_a_task_whose_worker_crashed_is_spared(self):
        async def check():
            bed = Workers()
            bed.judge.step_of(TASK).work_s = 10
            await bed.start()
            await bed.run_task()
            await bed.first.restart()
            born = bed.first.born
            await bed.run_task(run=2)
            await bed.first.restart()
            port = bed.first.server.port
            (await bed.first.move(bed.other)).stop()
            self.assertEqual((bed.first.born, bed.first.server.port),
                             (born, port))
            self.assertEqual(len(bed.first.runs), 1)
            bed.stop()

        asyncio.run(check())

    def test_an_end_forgotten_for_a_former_process_is_a_violation(self):
        async def check():
            bed = Workers()
            await bed.start()
            await bed.first.restart()
            await bed.run_task()
            await bed.call("hold", last_seen=3)
            rules = [rule for rule, _ in bed.judge.violations]
            self.assertEqual(rules, ["UNREAD"])
            await bed.start_task(run=2)
            rules = [rule for rule, _ in bed.judge.violations]
            self.assertEqual(rules, ["UNREAD", "TWICE"])
            bed.stop()

        asyncio.run(check())

    def test_another_worker_answers_at_a_former_address(self):
        async def check():
            bed = Workers()
            await bed.start()
            born = (await bed.poll(0))["born"]
            poll = asyncio.ensure_future(bed.poll(0, wait_ms=100))
            await asyncio.sleep(0.05)
            move = asyncio.ensure_future(bed.first.move(bed.other))
            self.assertEqual((await poll)["born"], born)
            former = await move
            self.assertEqual(await bed.reader.read(), b"")
            bed.reader, bed.writer = await asyncio.open_connection(*bed.address)
            self.assertEqual(list(await bed.poll(0)), ["clock_ms"])
            self.assertNotEqual(bed.first.server.port, former.port)
            bed.address = ("127.0.0.1", bed.first.server.port)
            status, answer = await bed.call("hold", last_seen=0)
            self.assertEqual(status, 200)
            self.assertGreater(answer["born"], born)
            former.stop()
            bed.stop()

        asyncio.run(check())

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
