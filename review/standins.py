"""Stand-ins for the platform, the backends and the clients, in one asyncio process.

They follow PROTOCOL.md: a store of rows, the call POST /failover, backends of one service with
asynchronous replication, and requesters on the wire protocol. The gateways are the project's own
program, started with the command of deploy/system.toml. All addresses are loopback addresses.
"""
import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    """Seconds since the script started."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run; written to record.txt beside the script."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.lines = []

    def add(self, text, at=None):
        self.lines.append((now() if at is None else at, text))

    def write(self):
        self.lines.sort(key=lambda line: line[0])
        self.path.write_text("".join(f"{at:9.4f} {text}\n" for at, text in self.lines))


def find_free_ports(count, host="127.0.0.1"):
    sockets = [socket.socket() for _ in range(count)]
    for entry in sockets:
        entry.bind((host, 0))
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


class HttpServer:
    """A keep-alive HTTP/1.1 server; handle(method, path, query, headers, body) -> (status, body),
    or None if the answer is lost."""

    def __init__(self, handle):
        self.handle = handle
        self.connections = {}

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    def silence(self):
        """Open connections deliver nothing any more, in either direction; new ones work."""
        for state in self.connections.values():
            state["silent"] = True

    async def serve(self, reader, writer):
        state = self.connections[writer] = {"silent": False}
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
                length = int(headers.get("Content-Length", "0"))
                body = await reader.readexactly(length) if length else b""
                if state["silent"]:
                    continue
                url = urllib.parse.urlsplit(target)
                query = {key: value[0] for key, value in
                         urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    state["silent"] = True  # A connection on which a response is lost.
                if state["silent"]:
                    continue
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()


class Store:
    """The platform's metadata store: rows of tables, conditional transactions, a feed."""

    ANSWER_S, TX_S = 0.004, 0.008

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, key) -> (value in base64 or None, version)
        self.version = 100
        self.changed = asyncio.Condition()
        self.http = HttpServer(self.handle)
        self.late = None  # Called with each transaction; what to await before it is done, or None.

    async def put(self, table, key, value):
        """Writes a row of an operator or a backend; returns the time of the ack."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self.rows[table, key] = (base64.b64encode(text).decode(), self.version)
        async with self.changed:
            self.changed.notify_all()
        return now()

    async def remove(self, table, key):
        """Removes a row, as the platform does with an entry that has expired."""
        self.version += 1
        self.rows[table, key] = (None, self.version)
        async with self.changed:
            self.changed.notify_all()

    async def apply(self, body):
        expected = body.get("Expect", [])
        current = [self.format(row["Table"], row["Key"]) for row in expected]
        if any((row or {"RowVersion": 0})["RowVersion"] != entry["RowVersion"]
               for row, entry in zip(current, expected)):
            return 412, {"rows": [row for row in current if row], "RowVersion": self.version}
        self.version += 1
        for row in body.get("Puts", []):
            self.rows[row["Table"], row["Key"]] = (row["Value"], self.version)
        for row in body.get("Remove", []):
            if (row["Table"], row["Key"]) in self.rows:
                self.rows[row["Table"], row["Key"]] = (None, self.version)
        async with self.changed:
            self.changed.notify_all()
        return 200, {"RowVersion": self.version, "NowMs": int(now() * 1000)}

    def format(self, table, key):
        value, version = self.rows.get((table, key), (None, 0))
        return None if value is None else {"Table": table, "part": "", "Key": key, "Value": value,
                                           "RowVersion": version}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.ANSWER_S)
        if path == "/v1/rows-tx":
            await asyncio.sleep(self.TX_S)
            call = json.loads(body)
            wait = self.late(call) if self.late else None
            if wait is not None:
                asyncio.get_running_loop().create_task(self.apply_late(call, wait))
                return None
            answer = await self.apply(call)
            keys = [row["Key"] for row in call.get("Puts", []) + call.get("Remove", [])]
            self.record.add(f"store: rows-tx {keys} {'removes' if call.get('Remove') else 'puts'}"
                            f" -> {answer[0]}")
            return answer
        table = query.get("Table")
        if path == "/v1/rows-get":
            keys = sorted(key for name, key in self.rows
                          if name == table and key >= query.get("From", ""))
            rows = [row for row in (self.format(table, key) for key in keys) if row]
            limit = int(query.get("Limit", "500"))
            return 200, {"rows": rows[:limit], "HasMore": len(rows) > limit,
                         "RowVersion": self.version, "NowMs": int(now() * 1000)}
        if path == "/v1/rows-feed":
            return 200, await self.wait_for_changes(table, int(query["after"]),
                                                    int(query["WaitMs"]) / 1000)
        return 404, {}

    async def apply_late(self, call, wait):
        keys = [row["Key"] for row in call.get("Puts", []) + call.get("Remove", [])]
        received_at = now()
        self.record.add(f"store: rows-tx {keys} gets no answer and is done later")
        await wait
        status, _ = await self.apply(call)
        self.record.add(f"store: the late rows-tx {keys} is done -> {status},"
                        f" {now() - received_at:.2f} s after it came")

    async def wait_for_changes(self, table, after, wait_s):
        def find():
            changed = sorted((version, key, value) for (name, key), (value, version)
                             in self.rows.items() if name == table and version > after)
            return [{"Table": table, "part": "", "Key": key, "RowVersion": version,
                     **({"Tombstone": True} if value is None else {"Value": value})}
                    for version, key, value in changed]
        end = time.monotonic() + wait_s
        while not (rows := find()) and (left := end - time.monotonic()) > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        return {"rows": rows, "RowVersion": self.version, "NowMs": int(now() * 1000)}


class Backend:
    """One backend of a service: its log, its role and its connections."""

    WORK_S = 0.003
    SLOTS = 2

    def __init__(self, group, name, zone, port, role):
        self.group, self.name, self.zone, self.port = group, name, zone, port
        self.role, self.term = role, 1
        self.log = []  # Entries are (term, number).
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.state = "ready"
        self.runs = []  # (time of arrival, id, text, last log entry) of the requesters' statements.
        self.is_deaf = False  # Receives nothing from the other backends.
        self.is_dark = False  # Crashed, and no longer answers.
        self.writers = set()
        self.refused = []  # Times of connections that were over the limit.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        await self.publish()

    async def publish(self):
        return await self.group.store.put("servers", self.name, {
            "Service": self.group.name, "Addr": f"127.0.0.1:{self.port}", "Zone": self.zone,
            "Version": "v1", "Slots": self.SLOTS, "State": self.state, "WarmupLeftMs": 0,
            "DbRole": self.role, "Seq": int(now() * 1000)})

    def position(self):
        return "%d.%d" % self.log[-1] if self.log else f"{self.term}.0"

    def crash(self):
        """Goes dark: open and new connections get no answer."""
        self.is_dark = True
        self.group.record.add(f"{self.name}: crashes and is dark")

    async def serve(self, reader, writer):
        transaction = None
        if self.is_dark:
            await asyncio.sleep(600)
        if len(self.writers) >= self.group.max_connections:
            self.refused.append(now())
            writer.write(f"ERROR CONNLIMIT {self.name}\r\n".encode())
            writer.close()
            return
        self.writers.add(writer)
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            if line[0] != "STARTUP" or line[1] != self.group.name or line[3:] != [self.name]:
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            await asyncio.sleep(600 if self.is_dark else 0.012)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line.startswith("TERMINATE"):
                    return
                if self.is_dark:
                    await asyncio.sleep(600)
                _, number, text = line.split(" ", 2)
                if number != "-":
                    self.runs.append((now(), number, text, self.log[-1] if self.log else None))
                answer, transaction = await self.run(number, text, transaction)
                if self.is_dark:
                    await asyncio.sleep(600)
                state = "I" if transaction is None else "T"
                writer.write(f"{answer}READY {state} {self.position()}\r\n".encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, number, text, transaction):
        done = "COMPLETE -\r\n"
        words = text.split(" ")
        if words[0] == "WAITLSN":
            term, position = map(int, words[1].split("."))
            if not self.log or self.log[-1] < (term, position):
                return f"ERROR LAGGING {self.name}\r\n", transaction
            words = words[2:]
        if words[0] == "STATUS":
            async with self.slots:
                row = f"DATAROW {self.role} {self.term} {self.position()} 0 8 0 1\r\n"
            return row + done, transaction
        if words[0] == "STEPDOWN":
            if self.role == "primary" and self.term < int(words[1]):
                await self.become_replica()
            return done, transaction
        if words[0] in ("SET", "PARSE", "CLOSE", "DISCARD", "RESUME"):
            return done, transaction
        if words[0] == "ROLLBACK":
            return done, None
        if words[0] == "BEGIN":
            return done, "read" if words[1:] == ["READ"] else "write"
        proof = f"COMPLETE {number}.{self.name}\r\n"
        if words[0] == "COMMIT":
            return proof, None
        if words[0] == "WRITE" and self.role != "primary":
            return f"ERROR READONLY {self.name}\r\n", transaction
        async with self.slots:
            await asyncio.sleep(self.WORK_S)
            if words[0] == "READ":
                return f"DATAROW {words[1]}\r\n{proof}", transaction
            if self.role != "primary":
                return f"ERROR READONLY {self.name}\r\n", transaction
            entry = (self.term, (self.log[-1][1] if self.log else 0) + 1)
            self.log.append(entry)
            self.group.commits[number] = entry
            self.group.replicate(self, entry)
            return proof, transaction

    async def become_replica(self):
        self.role = "replica"
        self.group.record.add(f"{self.name}: is a replica now")
        await self.publish()


class Group:
    """The backends of a service; replicas receive and apply a commit `lag_s` later."""

    def __init__(self, store, record, name, promote_s, lag_s, max_connections):
        self.store, self.record, self.name = store, record, name
        self.max_connections = max_connections
        self.promote_s, self.lag_s = promote_s, lag_s
        self.backends = {}
        self.commits = {}  # Id of a write -> its log entry.
        self.promotions = []

    async def add(self, name, zone, port, role):
        self.backends[name] = Backend(self, name, zone, port, role)
        await self.backends[name].start()
        return self.backends[name]

    def get_primary(self):
        """The live primary of the highest term."""
        return max((backend for backend in self.backends.values() if backend.role == "primary"),
                   key=lambda backend: backend.term)

    def replicate(self, primary, entry):
        def deliver(replica):
            if replica.role == "replica" and replica.term <= primary.term and \
                    not replica.is_deaf and not replica.is_dark and not primary.is_dark:
                replica.term = primary.term
                replica.log = primary.log[:primary.log.index(entry) + 1]
        for backend in self.backends.values():
            if backend is not primary:
                asyncio.get_running_loop().call_later(self.lag_s, deliver, backend)

    async def failover(self, method, path, query, headers, body):
        call = json.loads(body)
        chosen = self.backends.get(call["Id"])
        self.record.add(f"platform: failover to {call['Id']} by {headers['X-Duty-Holder']},"
                        f" fence {headers['X-Fencing-Token']}")
        if chosen is None or chosen.is_dark:
            return 409, {}
        asyncio.get_running_loop().create_task(self.promote(chosen))
        return 200, {}

    async def promote(self, chosen):
        await asyncio.sleep(self.promote_s)
        old = [other for other in self.backends.values()
               if other is not chosen and other.role == "primary"]
        chosen.term = max(other.term for other in self.backends.values()) + 1
        chosen.role = "primary"
        self.promotions.append((now(), chosen.name, list(chosen.log)))
        self.record.add(f"{chosen.name}: is the primary of term {chosen.term} now,"
                        f" log at {chosen.position()}")
        await chosen.publish()
        await asyncio.sleep(1)
        for other in old:  # A second after it can reach the new primary.
            if other.role == "primary" and not other.is_dark:
                await other.become_replica()


class Gateway:
    """One process of the system, started with the command of deploy/system.toml."""

    def __init__(self, fleet, name, zone, host):
        self.fleet, self.name, self.zone, self.host = fleet, name, zone, host
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split(" ")
        settings = self.fleet.folder / f"{self.name}.conf"
        settings.write_text(self.fleet.format_settings(self))
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / command[0]), *command[1:], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HORNBEAMHOOK_CONFIG": str(settings)})
        self.fleet.record.add(f"{self.name}: started")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.fleet.ports[1])
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit_s=20):
        end = now() + limit_s
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.02)
        return False


class Fleet:
    """The gateways of a small deployment, three zones in three regions."""

    ZONES = {"sligo-mill": "sligo", "dublin-docks": "dublin", "alps-depot": "alps"}

    def __init__(self, record, store_port, cloud_port):
        self.record, self.store_port, self.cloud_port = record, store_port, cloud_port
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = find_free_ports(4)
        self.gateways = []

    def add(self, name, zone):
        self.gateways.append(Gateway(self, name, zone, f"127.0.0.{11 + len(self.gateways)}"))
        return self.gateways[-1]

    def format_settings(self, gateway):
        front, ready, control, internal = self.ports
        lines = {
            "Node": gateway.name, "Role": "gateway", "MachineClass": "frontend",
            "Serves": "frontend,control_plane", "Ip": gateway.host, "Zone": gateway.zone,
            "Region": self.ZONES[gateway.zone],
            **{f"Zones.{zone}": region for zone, region in self.ZONES.items()},
            "Listen.Front": f"{gateway.host}:{front}", "Listen.Ready": f"{gateway.host}:{ready}",
            "Listen.Control": f"{gateway.host}:{control}",
            "InternalPorts": f"{internal},{internal}",
            "Seeds": ",".join(f"{other.host}:{control}" for other in self.gateways[:3]),
            "Bootstrap": "true", "Limits.CpuShare": "0.25", "Limits.Cores": "1",
            "Limits.MemoryMb": "260", "Limits.MaxFds": "4300", "Discovery": "platform",
            "HeartbeatMs": "1200", "Bounds.StableMs": "5000", "Bounds.DrainMs": "7000",
            "Bounds.GraceS": "6", "Bounds.ApplyMs": "3000", "Bounds.FenceRequired": "false",
            "platform.Addr": f"127.0.0.1:{self.store_port}", "platform.form": "table",
            "platform.TxMs": "8.0", "platform.HistoryS": "20", "platform.Across": "false",
            "Cloud.Addr": f"127.0.0.1:{self.cloud_port}", "Cloud.Duties": "failover"}
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    async def end(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


class Requester:
    """A session that sends one statement after the other; reconnects after a close."""

    numbers = iter(range(1, 1 << 40))

    def __init__(self, record, host, port, database, make_text, pause_s):
        self.record, self.host, self.port, self.database = record, host, port, database
        self.make_text, self.pause_s = make_text, pause_s
        self.answers = []  # (id, text, sent at, answered at, result line)
        self.is_ended = False

    async def run(self):
        while not self.is_ended:
            try:
                await self.run_session()
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)

    async def run_session(self):
        reader, writer = await asyncio.open_connection(self.host, self.port)
        try:
            writer.write(f"STARTUP {self.database} u1\r\n".encode())
            if not (await reader.readuntil(b"\r\n")).startswith(b"READY"):
                await asyncio.sleep(0.05)
                return
            while not self.is_ended:
                number = "%016x" % next(self.numbers)
                text = self.make_text()
                sent_at = now()
                result = "no answer"
                try:
                    writer.write(f"QUERY {number} {text}\r\n".encode())
                    line = ""
                    while not line.startswith("READY"):
                        line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                        result = line if line.startswith(("COMPLETE", "ERROR")) else result
                finally:
                    self.answers.append((number, text, sent_at, now(), result))
                await asyncio.sleep(self.pause_s)
        finally:
            writer.close()


CONFIG = {
    "Version": 7,
    "Routes": [
        {"Name": "r-1", "Hostname": "batchlog", "Prefix": "/", "RouteType": "primary",
         "TimeoutMs": 800, "GoalLatencyMs": 400, "Priority": 1, "Service": "wax1a",
         "MaxAttempts": 2},
        {"Name": "r-2", "Hostname": "recipes", "Prefix": "/", "RouteType": "bounded_staleness",
         "TimeoutMs": 1200, "GoalLatencyMs": 600, "Priority": 2, "Service": "wax1a",
         "MaxAttempts": 2, "MaxStalenessMs": 1500}],
    "Services": [{"Name": "wax1a", "HealthPath": "/health", "MaxConns": 30, "Protocol": "h1",
                  "Tls": False, "SyncReplicas": 0}],
    "Limits": {"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000,
               "IdleTimeoutMs": 15000, "TxIdleMs": 3000}}


class Deployment:
    """Store, platform, one service with three backends, and the gateways."""

    def __init__(self, folder, gateways=3, max_connections=30):
        self.record = Record(folder)
        self.gateways = gateways
        self.ports = find_free_ports(6)
        self.store = Store(self.record)
        self.group = Group(self.store, self.record, "wax1a", promote_s=0.3, lag_s=0.008,
                           max_connections=max_connections)
        self.cloud = HttpServer(self.group.failover)
        self.fleet = Fleet(self.record, self.ports[0], self.ports[1])
        self.tasks = []
        self.requesters = []

    async def start(self):
        CONFIG["Services"][0]["MaxConns"] = self.group.max_connections
        await self.store.put("op", "config", CONFIG)
        await self.store.http.start("127.0.0.1", self.ports[0])
        await self.cloud.start("127.0.0.1", self.ports[1])
        zones = list(Fleet.ZONES)
        for i, zone in enumerate(zones):
            await self.group.add(f"i-{i + 1:010x}", zone, self.ports[2 + i],
                                 "primary" if i == 0 else "replica")
        for i in range(self.gateways):
            zone = zones[i % len(zones)]
            self.fleet.add(f"frontend-{zone}-{i + 1}", zone)
        for gateway in self.fleet.gateways:
            await gateway.start()
        return all([await gateway.wait_until_ready() for gateway in self.fleet.gateways])

    def request(self, gateway, database, make_text, pause_s):
        requester = Requester(self.record, gateway.host, self.fleet.ports[0], database, make_text,
                              pause_s)
        self.requesters.append(requester)
        self.tasks.append(asyncio.get_running_loop().create_task(requester.run()))
        return requester

    async def end(self):
        for requester in self.requesters:
            requester.is_ended = True
        await asyncio.sleep(0.3)
        for task in self.tasks:
            task.cancel()
        await self.fleet.end()
        for requester in self.requesters:
            for number, text, sent_at, answered_at, result in requester.answers:
                self.record.add(f"{requester.host} {requester.database}: {number} {text} sent",
                                sent_at)
                self.record.add(f"{requester.host} {requester.database}: {number} -> {result}",
                                answered_at)
        for backend in self.group.backends.values():
            for at, number, text, last in backend.runs:
                self.record.add(f"{backend.name}: gets {number} {text}, log at {last}", at)
        self.record.write()


def play(case):
    """Runs the case's coroutine and exits with its result."""
    async def run_all():
        task = asyncio.get_running_loop().create_task(case())
        for name in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(name, task.cancel)
        code = 2
        try:
            code = await asyncio.wait_for(task, 110)
        except (asyncio.TimeoutError, asyncio.CancelledError):
            print("the case did not end in time")
        except Exception:
            traceback.print_exc()
        sys.stdout.flush()
        os._exit(code)  # The connections of the stand-ins need no orderly end.
    asyncio.run(run_all())
