"""Starts the stand-in, schedulers and entries on loopback for demos and tests.

Each process listens on ports chosen by the kernel and is stopped by its
process id.
"""

import json
import os
import re
import signal
import subprocess
import time
import urllib.error
import urllib.request

STARTED_EVENT = re.compile(r"event=started .*")


class Process:
    """A process of one of the programs, with its log file."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.log_path = log_path
        with open(log_path, "wb") as log:
            self.popen = subprocess.Popen(command, stderr=log, stdout=log)

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def fields(self, limit=20.0):
        """Waits for the log event `started` and returns its fields."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            found = STARTED_EVENT.search(self.log())
            if found:
                return dict(pair.split("=", 1) for pair in found.group().split()
                            if "=" in pair)
            if self.popen.poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{self.name} did not start:\n{self.log()}")

    def signal(self, number):
        self.popen.send_signal(number)

    def stop(self, limit=60.0):
        """Sends SIGTERM, waits for the exit and returns the exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(limit)

    def kill(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


class LocalCluster:
    """A complete system on the local machine."""

    def __init__(self, bin_dir, work_dir, domains=("a", "b", "c"),
                 standin_settings=(), settings=()):
        self.bin_dir = bin_dir
        self.work_dir = work_dir
        self.domains = list(domains)
        self.settings = list(settings)
        self.processes = []
        self.entries = []
        self.schedulers = []
        os.makedirs(work_dir, exist_ok=True)
        self.standin = self._start(
            "standin", "basilchute-standin",
            [f"fleet.failure_domains={json.dumps(self.domains)}",
             *standin_settings])
        self.platform = self.standin.fields()["platform"]

    def _start(self, name, program, settings):
        command = [os.path.join(self.bin_dir, program)]
        for setting in settings:
            command += ["--set", setting]
        process = Process(name, command,
                          os.path.join(self.work_dir, f"{name}.log"))
        self.processes.append(process)
        return process

    def _daemon(self, name, program, domain, settings):
        return self._start(name, program, [
            f"process.id={name}",
            f"process.failure_domain={domain}",
            f"cluster.failure_domains={json.dumps(self.domains)}",
            f"platform.table_store={self.platform}",
            f"platform.host_list={self.platform}",
            *self.settings, *settings])

    def start_scheduler(self, domain, settings=()):
        process = self._daemon(f"sched{len(self.schedulers)}",
                               "basilchute-sched", domain, settings)
        self.schedulers.append(process)
        return process

    def start_entry(self, domain, settings=()):
        process = self._daemon(f"entry{len(self.entries)}",
                               "basilchute-entry", domain, settings)
        self.entries.append(process)
        return process

    def callers(self):
        """Returns the caller API addresses of the running entries."""
        return [entry.fields()["callers"] for entry in self.entries
                if entry.popen.poll() is None]

    def operators(self):
        """Returns the operator API addresses of the running entries."""
        return [entry.fields()["operators"] for entry in self.entries
                if entry.popen.poll() is None]

    def ctl(self, *arguments, check=True):
        """Runs basilchute-ctl with the running entries as its targets."""
        command = [os.path.join(self.bin_dir, "basilchute-ctl"), "--set",
                   f"ctl.entries={json.dumps(self.operators())}", *arguments]
        done = subprocess.run(command, capture_output=True, text=True,
                              check=False)
        if check and done.returncode != 0:
            raise RuntimeError(f"basilchute-ctl {' '.join(arguments)}: "
                               f"{done.stdout}{done.stderr}")
        return done

    def load_command(self, *settings):
        command = [os.path.join(self.bin_dir, "basilchute-load"), "--set",
                   f"load.entries={json.dumps(self.callers())}"]
        for setting in settings:
            command += ["--set", setting]
        return command

    def get(self, address, path, limit=5.0):
        """Returns the status and the body of a GET request."""
        try:
            with urllib.request.urlopen(f"http://{address}{path}",
                                        timeout=limit) as response:
                return response.status, response.read().decode()
        except urllib.error.HTTPError as fault:
            return fault.code, fault.read().decode()

    def record(self):
        """Returns the stand-in's record, such as task starts and violations."""
        return json.loads(self.get(self.platform, "/record")[1])

    def control(self, query):
        """Changes the simulated platform, for example by action=leave."""
        status, body = self.get(self.platform, f"/control?{query}")
        if status != 200:
            raise RuntimeError(f"stand-in refused control {query}: "
                               f"{status} {body}")

    def wait(self, description, condition, limit=60.0):
        """Polls until the condition is true; fails after limit seconds."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise RuntimeError(f"timed out after {limit} s waiting for "
                           f"{description}")

    def wait_ready(self):
        for address in self.operators():
            self.wait(f"{address} to be ready",
                      lambda a=address: self.get(a, "/readyz")[0] == 200)

    def endpoints(self, address):
        """Returns the number of endpoints in the routing table of an entry."""
        found = re.search(r"^basilchute_entry_endpoints (\d+)",
                          self.get(address, "/metrics")[1], re.MULTILINE)
        return int(found.group(1)) if found else 0

    def wait_endpoints(self, count):
        for address in self.operators():
            self.wait(f"{count} endpoints at {address}",
                      lambda a=address: self.endpoints(a) >= count)

    def stop(self):
        """Stops all processes in order; returns the exit codes by name."""
        codes = {}
        for process in self.entries + self.schedulers + [self.standin]:
            codes[process.name] = process.stop()
        return codes

    def kill(self):
        for process in self.processes:
            process.kill()
