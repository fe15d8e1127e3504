#!/usr/bin/env python3
"""Starts a whole fleet as real processes on loopback, with latency from the fault relay.

As a program it runs one fleet, with load if wanted; tests and measurements import it as a module.
"""

import argparse
import functools
import hashlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("HORNBEAMHOOK_BUILD", os.path.join(ROOT, "build"))

# Ports are taken below the range the kernel uses for outgoing connections, so that a restarted
# process finds its port free.
FIRST_PORT = 12000
LAST_PORT = 32000
PORT_BLOCK = 1000

CREDENTIAL = "load-caller-credential"
OPERATOR_CREDENTIAL = "operator-credential"
FLEET_SECRET = "fleet-secret-of-this-run"
TOKEN_SECRET = "6b" * 32

# Section 1 of docs/design.md. Latencies are one way, in microseconds.
DEPLOYMENTS = {
    "nile_horn": {
        "places": ["cairo", "alexandria", "aswan"],
        "pools": ["ledger_a", "ledger_b", "ledger_c"],
        "slots": 3,
        "connection_limit": 20,
        "data_center_us": 500,
        "region_us": 8000,
        "client_us": 1000,
    },
    "carrowmore": {
        "places": ["sligo", "dublin", "alps"],
        "pools": ["wax_a", "wax_b", "wax_c"],
        "slots": 2,
        "connection_limit": 30,
        "data_center_us": 500,
        "region_us": 10000,
        "client_us": 3000,
    },
}
PROXY_COUNT = 8
CONNECT_COST_MS = 10
STATEMENT_COST_US = 500
DATA_CENTERS_PER_PLACE = 2


class FleetError(Exception):
    """The fleet did not reach the wanted state in time."""


def wait_for(condition, timeout, what):
    """Polls until `condition` gives a true value and returns it; FleetError after `timeout` s."""
    deadline = time.monotonic() + timeout
    last = None
    while True:
        try:
            value = condition()
            if value:
                return value
        except (OSError, ValueError, http.client.HTTPException) as error:
            last = error
        if time.monotonic() > deadline:
            raise FleetError("%s: not within %s s (last error: %r)" % (what, timeout, last))
        time.sleep(0.02)


def call_http(address, method, path, body=None, timeout=5.0, headers=None):
    """One HTTP exchange; returns the status and the decoded body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        response = connection.getresponse()
        data = response.read()
    finally:
        connection.close()
    try:
        return response.status, json.loads(data) if data else None
    except ValueError:
        return response.status, data.decode(errors="replace")


class TargetClient:
    """A minimal PostgreSQL protocol client, for looking at a target without the fleet."""

    def __init__(self, address, timeout=2.0):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = struct.pack("!I", 196608) + b"user\0inspector\0database\0inspector\0\0"
        try:
            self.socket.sendall(struct.pack("!I", len(body) + 4) + body)
            self.read_until_ready()
        except BaseException:
            self.socket.close()
            raise

    def close(self):
        self.socket.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def receive(self, count):
        data = b""
        while len(data) < count:
            part = self.socket.recv(count - len(data))
            if not part:
                raise OSError("the target closed the connection")
            data += part
        return data

    def read_until_ready(self):
        rows, error = [], None
        while True:
            kind, length = struct.unpack("!cI", self.receive(5))
            body = self.receive(length - 4)
            if kind == b"Z":
                if error:
                    raise ValueError(error)
                return rows
            if kind == b"E":
                if body.startswith(b"SFATAL"):
                    raise OSError(body.decode(errors="replace").replace("\0", " "))
                error = body.decode(errors="replace").replace("\0", " ")
            if kind == b"D":
                rows.append(self.parse_row(body))

    @staticmethod
    def parse_row(body):
        (count,) = struct.unpack("!H", body[:2])
        offset, row = 2, []
        for _ in range(count):
            (length,) = struct.unpack("!i", body[offset : offset + 4])
            offset += 4
            row.append(None if length < 0 else body[offset : offset + length].decode())
            offset += max(length, 0)
        return row

    def query(self, sql):
        """Runs one statement without parameters; returns its rows as text."""

        def message(kind, body):
            return kind + struct.pack("!I", len(body) + 4) + body

        data = message(b"P", b"\0" + sql.encode() + b"\0" + struct.pack("!H", 0))
        data += message(b"B", b"\0\0" + struct.pack("!HHH", 0, 0, 0))
        data += message(b"D", b"P\0") + message(b"E", b"\0" + struct.pack("!I", 0))
        self.socket.sendall(data + message(b"S", b""))
        return self.read_until_ready()


class Process:
    """One started program; ended only through its own id."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.log_path = log_path
        self.log = open(log_path, "ab")
        self.popen = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=self.log, stderr=subprocess.STDOUT
        )

    @property
    def pid(self):
        return self.popen.pid

    def is_running(self):
        return self.popen.poll() is None

    def send(self, number):
        if self.is_running():
            os.kill(self.pid, number)

    def wait(self, timeout):
        return self.popen.wait(timeout)

    def end(self, timeout=15):
        """Asks the process to end, then kills it. Returns the exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            code = self.wait(timeout)
        except subprocess.TimeoutExpired:
            code = self.kill()
        self.log.close()
        return code

    def kill(self):
        self.send(signal.SIGKILL)
        code = self.wait(10)
        self.log.close()
        return code


class PortAllocator:
    """Hands out free loopback ports of one block, which only this process uses."""

    def __init__(self):
        self.lock = threading.Lock()
        self.guard = None
        first_ports = list(range(FIRST_PORT, LAST_PORT, PORT_BLOCK))
        random.SystemRandom().shuffle(first_ports)
        for first in first_ports:
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", first))
            except OSError:
                guard.close()
                continue
            # Held for the life of the process: several programs start fleets at the same time, and
            # a port is only in use once the process it was taken for listens on it.
            self.guard = guard
            self.first = first
            self.next = first
            return
        raise FleetError("no free block of ports")

    def take(self):
        with self.lock:
            for _ in range(PORT_BLOCK):
                self.next = self.first + 1 + (self.next - self.first) % (PORT_BLOCK - 1)
                with socket.socket() as probe:
                    try:
                        probe.bind(("127.0.0.1", self.next))
                    except OSError:
                        continue
                return "127.0.0.1:%d" % self.next
        raise FleetError("no free port")


@functools.cache
def get_ports():
    """The allocator that all fleets of this process share."""
    return PortAllocator()


def hash_credential(text):
    """What the configuration holds of a credential."""
    return hashlib.blake2b(text.encode(), digest_size=32).hexdigest()


class Fleet:
    """All processes of one deployment. Use as a context manager."""

    def __init__(
        self,
        deployment="nile_horn",
        directory=None,
        lag_ms=0,
        seed=1,
        proxy_settings=None,
        target_settings=None,
        with_latency=True,
        pools=None,
        proxy_count=PROXY_COUNT,
        with_relays=True,
    ):
        self.proxy_count = proxy_count
        self.with_relays = with_relays
        self.deployment = deployment
        self.plan = DEPLOYMENTS[deployment]
        self.pools = pools or self.plan["pools"]
        self.lag_ms = lag_ms
        self.seed = seed
        self.extra_proxy_settings = proxy_settings or {}
        self.extra_target_settings = target_settings or {}
        self.with_latency = with_latency
        self.is_own_directory = directory is None
        self.directory = directory or tempfile.mkdtemp(prefix="hornbeamhook-fleet-")
        os.makedirs(self.directory, exist_ok=True)
        self.processes = {}
        self.ports = get_ports()
        self.links = []
        self.version = 0
        self.place_everything()

    # Layout

    def place_everything(self):
        places = self.plan["places"]
        self.platform_address = self.ports.take()
        self.relay_control = self.ports.take()
        self.proxies = {}
        for number in range(self.proxy_count):
            place = places[number % len(places)]
            center = "%s-%d" % (place, number // len(places) % DATA_CENTERS_PER_PLACE + 1)
            name = "vm%d" % (number + 1)
            self.proxies[name] = {
                "place": place,
                "data_center": center,
                "address": self.ports.take(),
            }
        self.targets = {}
        for pool in self.pools:
            for place in places:
                self.targets["%s/%s" % (pool, place)] = {
                    "pool": pool,
                    "name": place,
                    "place": place,
                    "data_center": place + "-1",
                    "address": self.ports.take(),
                    "control_address": self.ports.take(),
                    "replication_address": self.ports.take(),
                }
        self.place_links()

    def get_latency_us(self, a, b):
        if not self.with_latency or a["data_center"] == b["data_center"]:
            return 0
        if a["place"] == b["place"]:
            return self.plan["data_center_us"]
        return self.plan["region_us"]

    def add_link(self, name, upstream, latency_us):
        if not self.with_relays:
            return upstream
        listen = self.ports.take()
        self.links.append(
            {"name": name, "listen": listen, "upstream": upstream, "latency_us": latency_us}
        )
        return listen

    def place_links(self):
        """Names: client>VM, platform<VM, VM>VM, VM>POOL/TARGET, POOL/TARGET>POOL/TARGET."""
        client_us = self.plan["client_us"] if self.with_latency else 0
        for name, proxy in self.proxies.items():
            proxy["client_address"] = self.add_link("client>" + name, proxy["address"], client_us)
            proxy["platform_address"] = self.add_link(
                name + ">platform", self.platform_address, 0
            )
            proxy["address_map"] = {}
        for name, proxy in self.proxies.items():
            for other_name, other in self.proxies.items():
                if other_name != name:
                    proxy["address_map"][other["address"]] = self.add_link(
                        "%s>%s" % (name, other_name),
                        other["address"],
                        self.get_latency_us(proxy, other),
                    )
            for target_name, target in self.targets.items():
                proxy["address_map"][target["address"]] = self.add_link(
                    "%s>%s" % (name, target_name),
                    target["address"],
                    self.get_latency_us(proxy, target),
                )
        for name, target in self.targets.items():
            target["peers"] = {}
            for peer_name, peer in self.targets.items():
                if peer["pool"] == target["pool"] and peer_name != name:
                    target["peers"][peer["name"]] = self.add_link(
                        "%s>%s" % (name, peer_name),
                        peer["replication_address"],
                        self.get_latency_us(target, peer),
                    )

    # Settings files

    def write_settings(self, name, content):
        path = os.path.join(self.directory, name.replace("/", "_") + ".json")
        # Replaced as a whole, because a process started before may be reading the file.
        with open(path + ".new", "w") as file:
            json.dump(content, file, indent=1)
        os.replace(path + ".new", path)
        return path

    def make_target_settings(self, name):
        target = self.targets[name]
        places = self.plan["places"]
        # Primaries are spread over the places, so that no place sees only local writes.
        primary = places[self.pools.index(target["pool"]) % len(places)]
        settings = {
            "name": target["name"],
            "listen_address": target["address"],
            "control_address": target["control_address"],
            "replication_address": target["replication_address"],
            "peers": [{"name": peer, "address": link} for peer, link in target["peers"].items()],
            "initial_primary": primary,
            "slots": self.plan["slots"],
            "connection_limit": self.plan["connection_limit"],
            "connect_cost_ms": CONNECT_COST_MS,
            "statement_cost_us": STATEMENT_COST_US,
            "replication_lag_ms": self.lag_ms,
            "data_directory": os.path.join(self.directory, "data", name),
        }
        os.makedirs(settings["data_directory"], exist_ok=True)
        settings.update(self.extra_target_settings)
        return settings

    def make_proxy_settings(self, name):
        proxy = self.proxies[name]
        settings = {
            "vm": name,
            "place": proxy["place"],
            "data_center": proxy["data_center"],
            "region": proxy["place"],
            "listen_address": proxy["address"],
            "platform_address": proxy["platform_address"],
            "fleet_secret": FLEET_SECRET,
            "address_map": proxy["address_map"],
        }
        settings.update(self.extra_proxy_settings)
        return settings

    # Starting and stopping

    def start_program(self, name, program, settings):
        path = self.write_settings(name, settings)
        log = os.path.join(self.directory, name.replace("/", "_") + ".log")
        command = [os.path.join(BUILD, program), "--settings", path]
        self.processes[name] = Process(name, command, log)
        return self.processes[name]

    def start_platform(self):
        self.start_program(
            "platform",
            "hornbeamhook-platform-standin",
            {"listen_address": self.platform_address, "seed": self.seed},
        )

    def start_relay(self):
        self.start_program(
            "relay",
            "hornbeamhook-fault-proxy",
            {"control_address": self.relay_control, "threads": 2, "links": self.links},
        )

    def start_target(self, name):
        return self.start_program(
            name, "hornbeamhook-target-standin", self.make_target_settings(name)
        )

    def start_proxy(self, name):
        return self.start_program(name, "hornbeamhook-proxy", self.make_proxy_settings(name))

    def start(self):
        self.start_platform()
        self.start_relay()
        for name in self.targets:
            self.start_target(name)
        wait_for(
            lambda: call_http(self.platform_address, "GET", "/v1/vms")[0] == 200,
            10,
            "platform stand-in",
        )
        wait_for(
            lambda: call_http(self.relay_control, "GET", "/control/status")[0] == 200,
            10,
            "fault relay",
        )
        for name in self.targets:
            wait_for(lambda name=name: self.get_target_status(name), 10, "target " + name)
        self.write_configuration()
        for name in self.proxies:
            self.start_proxy(name)
        for name in self.proxies:
            self.wait_ready(name)
        for pool in self.pools:
            wait_for(lambda pool=pool: self.can_write(pool), 20, "writes in " + pool)

    def wait_ready(self, name, timeout=20):
        wait_for(lambda: self.is_ready(name), timeout, "proxy %s to be ready" % name)

    def is_ready(self, name):
        return call_http(self.proxies[name]["address"], "GET", "/readyz", timeout=2)[0] == 200

    def stop(self):
        """Ends only the processes this object started, each by its id."""
        for process in self.processes.values():
            process.send(signal.SIGCONT)
        for name in [n for n in self.processes if n in self.proxies]:
            self.processes[name].send(signal.SIGKILL)
        for process in self.processes.values():
            process.send(signal.SIGTERM)
        for process in self.processes.values():
            process.end(timeout=5)
        if self.is_own_directory and not os.environ.get("HORNBEAMHOOK_KEEP"):
            shutil.rmtree(self.directory, ignore_errors=True)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.print_logs()
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def print_logs(self, lines=5):
        for process in self.processes.values():
            with open(process.log_path, errors="replace") as file:
                tail = file.readlines()[-lines:]
            state = "running" if process.is_running() else "ended"
            print("--- %s (%s)" % (process.name, state), file=sys.stderr)
            print("".join(tail), file=sys.stderr)

    # Configuration

    def make_configuration_puts(self):
        everything = [{"pool": "*", "may_read": True, "may_write": True}]
        puts = [
            {"kind": "token_key", "name": "key1", "value": {"secret": TOKEN_SECRET}},
            {
                "kind": "caller",
                "name": "load",
                "value": {
                    "credential_hash": hash_credential(CREDENTIAL),
                    "rights": everything,
                },
            },
            {
                "kind": "operator",
                "name": "operator",
                "value": {
                    "credential_hash": hash_credential(OPERATOR_CREDENTIAL),
                    "rights": everything,
                },
            },
        ]
        for pool in self.pools:
            puts.append({"kind": "pool", "name": pool, "value": {}})
        for name in self.targets:
            puts.append({"kind": "target", "name": name, "value": self.make_target_value(name)})
        return puts

    def make_target_value(self, name, is_leaving=False):
        target = self.targets[name]
        return {
            "address": target["address"],
            "place": target["place"],
            "data_center": target["data_center"],
            "connection_limit": self.plan["connection_limit"],
            "slots": self.plan["slots"],
            "is_leaving": is_leaving,
        }

    def write_configuration(self):
        self.change_configuration(self.make_configuration_puts())

    def change_configuration(self, puts, deletes=()):
        """Commits one change of the log of section 7; returns the version it created."""
        _, row = call_http(self.platform_address, "GET", "/v1/table/config/head")
        head_row = row if isinstance(row, dict) and "value" in row else None
        version = (head_row["value"]["version"] if head_row else 0) + 1
        change = {
            "version": version,
            "change_id": "fleet-%d-%d" % (os.getpid(), version),
            "author": "fleet.py",
            "at_ms": int(time.time() * 1000),
            "puts": list(puts),
            "deletes": list(deletes),
        }
        head = {"table": "config", "key": "head"}
        key = "%012d" % version
        condition = {"version": head_row["version"]} if head_row else {"absent": True}
        status, answer = call_http(
            self.platform_address,
            "POST",
            "/v1/table/transaction",
            {
                "conditions": [
                    dict(head, **condition),
                    {"table": "config_change", "key": key, "absent": True},
                ],
                "puts": [
                    dict(head, value={"version": version, "change_id": change["change_id"]}),
                    {"table": "config_change", "key": key, "value": change},
                ],
            },
        )
        if status != 200 or not answer.get("committed"):
            raise FleetError("configuration change %d: %s %s" % (version, status, answer))
        self.version = version
        return version

    # Faults and inspection

    def target_fault(self, name, **faults):
        """Changes the faults of one target stand-in."""
        address = self.targets[name]["control_address"]
        status, answer = call_http(address, "POST", "/control/faults", faults)
        if status != 200:
            raise FleetError("faults of %s: %s" % (name, answer))

    def fault(self, links, action, **arguments):
        """Applies a fault to all links that match one of the name patterns."""
        links = [links] if isinstance(links, str) else list(links)
        status, answer = call_http(
            self.relay_control,
            "POST",
            "/control/links",
            dict(arguments, links=links, action=action),
        )
        if status != 200:
            raise FleetError("fault %s on %s: %s" % (action, links, answer))
        return answer["matched"]

    def get_links(self):
        """Status of all links by name."""
        links = call_http(self.relay_control, "GET", "/control/status")[1]["links"]
        return {link["name"]: link for link in links}

    def platform_fault(self, **faults):
        return call_http(self.platform_address, "POST", "/control/faults", faults)

    def get_target_control(self, name, timeout=2.0):
        """Status, faults and counters of a target, without using one of its connections."""
        address = self.targets[name]["control_address"]
        return call_http(address, "GET", "/control/status", timeout=timeout)[1]

    def get_target_status(self, name, timeout=2.0):
        """What `hornbeamhook_status()` says at the target."""
        return self.get_target_control(name, timeout)["status"]

    def get_primary(self, pool):
        """Name of the target that is primary of the highest term, or None."""
        best = None
        for name, target in self.targets.items():
            if target["pool"] != pool or not self.processes[name].is_running():
                continue
            try:
                status = self.get_target_status(name, timeout=1.0)
            except (OSError, ValueError):
                continue
            if status["is_primary"] and (best is None or status["follow_term"] > best[0]):
                best = (status["follow_term"], name)
        return best[1] if best else None

    def call_proxy(self, name, path, body, timeout=10, direct=False):
        """One caller request; returns the HTTP status and the answer."""
        proxy = self.proxies[name]
        address = proxy["address"] if direct else proxy["client_address"]
        headers = {"Authorization": "Bearer " + CREDENTIAL}
        return call_http(address, "POST", path, body, timeout, headers)

    def can_write(self, pool):
        body = {
            "kind": "write",
            "deadline_ms": 4000,
            "statements": [{"sql": "CREATE TABLE IF NOT EXISTS ready_check (id INTEGER)"}],
        }
        name = next(iter(self.proxies))
        return self.call_proxy(name, "/v1/pools/%s/statements" % pool, body)[1]["outcome"] == "ok"

    # Load

    def make_load_settings(self, control_address=None, pools=None, workload=None):
        """Settings of the load tool; `workload` is a deployment, by default that of the fleet."""
        settings = {
            "deployment": workload or self.deployment,
            "credential": CREDENTIAL,
            "pools": pools or self.pools,
            "proxies": [
                {"name": name, "place": proxy["place"], "address": proxy["client_address"]}
                for name, proxy in self.proxies.items()
            ],
        }
        if control_address:
            settings["control_address"] = control_address
        return settings

    def start_load(self, *options, pools=None, workload=None):
        return LoadRun(self, options, pools, workload)


class LoadRun:
    """One running load tool with its control interface and report."""

    number = 0

    def __init__(self, fleet, options, pools=None, workload=None):
        LoadRun.number += 1
        name = "load%d" % LoadRun.number
        self.control = fleet.ports.take()
        settings = fleet.write_settings(
            name, fleet.make_load_settings(self.control, pools, workload)
        )
        self.report_path = os.path.join(fleet.directory, name + "-report.json")
        self.output_path = os.path.join(fleet.directory, name + ".log")
        command = [os.path.join(BUILD, "hornbeamhook-load"), "--settings", settings]
        command += ["--report-json", self.report_path] + [str(option) for option in options]
        self.command = command
        self.process = Process(name, command, self.output_path)
        fleet.processes[name] = self.process

    def get_state(self):
        return call_http(self.control, "GET", "/control/state")[1]

    def wait_running(self, timeout=30):
        wait_for(lambda: self.get_state()["phase"] == "running", timeout, "load to run")

    def wait_kill_due(self, timeout=60):
        wait_for(lambda: self.get_state()["is_kill_primary_due"], timeout, "the time of the kill")

    def report_event(self, kind, **fields):
        status, answer = call_http(
            self.control, "POST", "/control/events", dict(fields, kind=kind)
        )
        if status != 200:
            raise FleetError("event %s: %s" % (kind, answer))

    def lose_primary(self, pool, target, label, action):
        """Runs `action`, which makes the primary unusable, and reports when it did."""
        before = time.monotonic_ns()
        action()
        self.report_event(
            "primary_lost",
            pool=pool,
            target=target,
            label=label,
            at_ns=before,
            effective_ns=time.monotonic_ns(),
        )

    def finish(self, timeout=180):
        """Waits for the end; returns the exit code and the report (None without one)."""
        code = self.process.wait(timeout)
        report = None
        if os.path.exists(self.report_path):
            with open(self.report_path) as file:
                report = json.load(file)
        return code, report

    def read_output(self):
        with open(self.output_path, errors="replace") as file:
            return file.read()


def run_main_job(arguments):
    """Starts a fleet, runs the load, kills a primary in its middle; returns the exit code."""
    with Fleet(
        arguments.deployment, arguments.directory, lag_ms=arguments.lag_ms, seed=arguments.seed
    ) as fleet:
        print("fleet of %s ready in %s" % (fleet.deployment, fleet.directory), flush=True)
        options = ["--duration", arguments.duration, "--clients", arguments.clients]
        options += ["--seed", arguments.seed, "--warm-up", arguments.warm_up]
        if arguments.rate:
            options += ["--rate", arguments.rate]
        if arguments.kill_primary_at:
            options += ["--kill-primary-at", arguments.kill_primary_at]
        load = fleet.start_load(*options)
        print("command: " + " ".join(load.command), flush=True)
        if arguments.kill_primary_at:
            load.wait_kill_due(arguments.kill_primary_at + 60)
            pool = fleet.pools[0]
            primary = fleet.get_primary(pool)
            process = fleet.processes[primary]
            print("killing primary %s (process %d)" % (primary, process.pid), flush=True)
            load.lose_primary(pool, primary, "killed", process.kill)
        code, report = load.finish(arguments.duration + 120)
        print(load.read_output())
        if report is None:
            fleet.print_logs()
        return code


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="nile_horn")
    parser.add_argument("--directory", help="for settings, logs and data; default: temporary")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--lag-ms", type=int, default=20, help="replication lag")
    parser.add_argument("--duration", type=float, default=0, help="seconds of load; 0 for none")
    parser.add_argument("--warm-up", type=float, default=2)
    parser.add_argument("--clients", type=int, default=48)
    parser.add_argument("--rate", type=float, default=0, help="operations per second")
    parser.add_argument("--kill-primary-at", type=float, default=0, help="second of the load")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    if arguments.duration:
        sys.exit(run_main_job(arguments))
    with Fleet(
        arguments.deployment, arguments.directory, lag_ms=arguments.lag_ms, seed=arguments.seed
    ) as fleet:
        print(json.dumps(fleet.make_load_settings(), indent=1), flush=True)
        try:
            signal.pause()
        except KeyboardInterrupt:
            pass


if __name__ == "__main__":
    main()
