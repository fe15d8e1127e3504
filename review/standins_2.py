"""Small stand-ins of the platform on loopback, for the scripts of review/6 to review/10.

They follow PROTOCOL.md and behave like a sound store, sound databases and a sound platform. What a
script disrupts it asks for by name.
"""

import base64
import http.server
import json
import os
import pathlib
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
GATEWAY = ROOT / "target" / "hornbeamhook-gateway"  # The command of deploy/system.toml.
HEARTBEAT_S = 1.2


def now():
    return time.monotonic()


def free_ports(host, count):
    """Ports free for TCP and UDP on the address."""
    held, ports = [], []
    while len(ports) < count:
        tcp, udp = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        tcp.bind((host, 0))
        held += [tcp, udp]
        try:
            udp.bind(tcp.getsockname())
        except OSError:
            continue
        ports.append(tcp.getsockname()[1])
    for one in held:
        one.close()
    return ports


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = now()

    def write(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write("%8.3f %s\n" % (now() - self.start, text))
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class QuietThreads(socketserver.ThreadingMixIn):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass


class HttpServer(QuietThreads, http.server.HTTPServer):
    pass


class Store:
    """The platform's store: rows, conditional transactions, watches."""

    def __init__(self, record):
        self.changed = threading.Condition()
        self.rows = {}
        self.version = 0
        self.record = record
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                head = "HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                self.wfile.write((head % (status, len(data))).encode() + data)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/v1/rows-get":
                    self.answer(200, store.read(query["Table"], query.get("From", "")))
                elif url.path == "/v1/rows-feed":
                    wait_s = int(query.get("WaitMs", "0")) / 1000
                    self.answer(200, store.watch(query["Table"], int(query["after"]), wait_s))
                else:
                    self.answer(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", "0"))))
                if self.path == "/v1/rows-tx":
                    time.sleep(0.008)
                    self.answer(*store.change(body))
                else:
                    self.answer(404, {})

        self.server = HttpServer(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
            self._set(table, key, text)
            self.changed.notify_all()

    def _set(self, table, key, text):
        self.rows[table, key] = {"Table": table, "part": "", "Key": key, "Value": text or "",
                                 "RowVersion": self.version, "Tombstone": text is None}

    def read(self, table, start):
        with self.changed:
            rows = [{key: value for key, value in row.items() if key != "Tombstone"}
                    for (name, key), row in sorted(self.rows.items())
                    if name == table and key >= start and not row["Tombstone"]]
            return {"rows": rows, "HasMore": False, "RowVersion": self.version,
                    "NowMs": int(now() * 1000)}

    def watch(self, table, after, wait_s):
        def newer():
            return sorted((row for (name, _), row in self.rows.items()
                           if name == table and row["RowVersion"] > after),
                          key=lambda row: row["RowVersion"])

        with self.changed:
            self.changed.wait_for(newer, wait_s)
            return {"rows": newer(), "RowVersion": self.version, "NowMs": int(now() * 1000)}

    def change(self, body):
        with self.changed:
            def find(row):
                found = self.rows.get((row["Table"], row["Key"]))
                return None if found is None or found["Tombstone"] else found

            for row in body["Expect"]:
                found = find(row)
                if (found["RowVersion"] if found else 0) != row["RowVersion"]:
                    return 412, {"rows": [each for each in map(find, body["Expect"]) if each],
                                 "RowVersion": self.version}
            self.version += 1
            for row in body["Puts"]:
                self._set(row["Table"], row["Key"], row["Value"])
            for row in body["Remove"]:
                self._set(row["Table"], row["Key"], None)
            for row in body["Puts"]:
                if row["Key"].startswith("group/"):
                    self.record.write("store: %s = %s" % (
                        row["Key"], base64.b64decode(row["Value"]).decode()))
            self.changed.notify_all()
            return 200, {"RowVersion": self.version, "NowMs": int(now() * 1000)}


class Database:
    """One service: its backends, their logs, and the promote that the platform carries out."""

    def __init__(self, store, record, service, promote_s=0.3):
        self.store = store
        self.record = record
        self.service = service
        self.promote_s = promote_s
        self.lock = threading.RLock()
        self.backends = []
        self.terms = 1

    def add(self, id, is_primary):
        backend = Backend(self, id, is_primary)
        self.backends.append(backend)
        return backend

    def commit(self, leader, text):
        """Appends to the leader's log; replicas that hear it receive it at once."""
        leader.log.append((leader.term, len(leader.log) + 1, text))
        for other in self.backends:
            if other is not leader and other.is_up and not other.is_primary:
                other.log = list(leader.log)
                other.term = leader.term
        return leader.log[-1]

    def promote(self, id):
        """False if the backend isn't running. Takes effect a little later."""
        with self.lock:
            chosen = next((each for each in self.backends if each.id == id), None)
            if chosen is None or not chosen.is_up:
                return False
            if chosen.is_primary and chosen.term == self.terms:
                return True
            self.terms += 1
            term = self.terms
        threading.Timer(self.promote_s, self.lead, (chosen, term)).start()
        return True

    def lead(self, chosen, term):
        with self.lock:
            chosen.is_primary = True
            chosen.term = term
            self.record.write("platform: %s leads term %d with %s" % (chosen.id, term,
                                                                    chosen.position()))
            for other in self.backends:
                if other is not chosen and other.is_up and not other.is_primary:
                    other.log = list(chosen.log)
                    other.term = term
        chosen.report()

        def demote():
            with self.lock:
                for other in self.backends:
                    if other is not chosen and other.is_primary and other.term < term:
                        other.step_down(term)
        threading.Timer(1.0, demote).start()


class Backend:
    """A database process: the wire protocol, a log, and check-ins at the store."""

    def __init__(self, database, id, is_primary):
        self.database = database
        self.record = database.record
        self.id = id
        self.is_primary = is_primary
        self.term = 1
        self.log = []
        self.state = "ready"
        self.is_up = True
        self.checks_in = True     # Whether its check-ins reach the store.
        self.last_check_in = now()
        self.removed_at = None    # When the store removed its entry.
        self.sequence = 0
        self.ran = []             # (time, id, text) of the statements of requesters.
        self.work_s = 0.004
        self.open = set()
        backend = self

        class Handler(socketserver.StreamRequestHandler):
            disable_nagle_algorithm = True

            def handle(self):
                try:
                    backend.open.add(self.connection)
                    if backend.is_up:
                        backend.serve(self)
                except OSError:
                    pass
                finally:
                    backend.open.discard(self.connection)

        class Server(QuietThreads, socketserver.TCPServer):
            pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.report()
        threading.Thread(target=self.check_in, daemon=True).start()

    def position(self):
        # A leader that has written nothing stands at the end of what it received.
        return "%d.%d" % (self.term if self.is_primary else
                          (self.log[-1][0] if self.log else 1), len(self.log))

    def report(self):
        if not self.checks_in or not self.is_up:
            return
        self.sequence += 1
        self.last_check_in = now()
        if self.removed_at is not None:
            self.removed_at = None
            self.record.write("store: the entry of %s is back" % self.id)
        self.database.store.put("servers", self.id, {
            "Service": self.database.service, "Addr": self.address, "Zone": "z1", "Version": "v1",
            "Slots": 3, "State": self.state, "WarmupLeftMs": 0, "Seq": self.sequence,
            "DbRole": "primary" if self.is_primary else "replica"})

    def check_in(self):
        last = now()
        while True:
            time.sleep(0.05)
            if self.checks_in and self.is_up and now() - last >= HEARTBEAT_S:
                last = now()
                self.report()
            silent_s = now() - self.last_check_in
            if self.removed_at is None and silent_s >= 3 * HEARTBEAT_S:
                self.database.store.put("servers", self.id, None)
                self.removed_at = now()
                self.record.write("store: the entry of %s is removed after %.1f s of silence"
                                  % (self.id, silent_s))

    def drop_connections(self):
        for each in list(self.open):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def crash(self):
        """It answers nothing and keeps its log."""
        self.is_up = False
        self.record.write("%s crashes" % self.id)
        self.drop_connections()

    def come_back(self):
        with self.database.lock:
            leader = next((each for each in self.database.backends
                           if each.is_up and each.is_primary and each.term > self.term), None)
            if leader is not None:
                self.is_primary = False
                self.term, self.log = leader.term, list(leader.log)
            self.is_up = True
        self.record.write("%s is back" % self.id)
        self.report()

    def step_down(self, term):
        self.is_primary = False
        self.term = term
        leader = next((each for each in self.database.backends if each.is_primary), None)
        if leader is not None:
            self.log = list(leader.log)
        self.record.write("%s is a replica of term %d" % (self.id, term))
        threading.Thread(target=self.report, daemon=True).start()

    def serve(self, connection):
        started, state, wrote = False, "I", []
        for raw in connection.rfile:
            line = raw.rstrip(b"\r\n").decode()
            word, _, rest = line.partition(" ")
            if word == "STARTUP":
                fields = rest.split(" ")
                if fields[0] != self.database.service or fields[2:3] not in ([], [self.id]):
                    connection.wfile.write(b"ERROR WRONGNODE -\r\n")
                    return
                started = True
                time.sleep(0.012)
                connection.wfile.write(("READY I %s\r\n" % self.position()).encode())
                continue
            if word != "QUERY" or not started:
                return
            id, _, text = rest.partition(" ")
            result, state, wrote = self.run(id, text, state, wrote)
            connection.wfile.write(
                (result + "READY %s %s\r\n" % (state, self.position())).encode())

    def run(self, id, text, state, wrote):
        """The answer without READY, the new state, and what the transaction has written."""
        words = text.split(" ")
        required = None
        if words[0] == "WAITLSN":
            term, _, number = words[1].partition(".")
            required = (int(term), int(number))
            words = words[2:]
            text = " ".join(words)
        kind = words[0]
        done = "COMPLETE -\r\n"
        if kind == "STATUS":
            with self.database.lock:
                return ("DATAROW %s %d %s 0 0 0 1\r\n" % (
                    "primary" if self.is_primary else "replica", self.term,
                    self.position()) + done, state, wrote)
        if kind == "STEPDOWN":
            with self.database.lock:
                if self.is_primary and self.term < int(words[1]):
                    self.step_down(int(words[1]))
            return done, state, wrote
        if kind == "ROLLBACK":
            return done, "I", []
        if kind in ("DISCARD", "SET", "PARSE", "CLOSE", "PAUSE", "RESUME"):
            return done, state, wrote
        if state == "E" and kind != "COMMIT":
            return "ERROR MALFORMED -\r\n", state, wrote
        failed = "I" if state == "I" else "E"
        if required is not None:
            with self.database.lock:
                if (self.log[-1][0] if self.log else 1, len(self.log)) < required:
                    return "ERROR LAGGING -\r\n", failed, wrote
        if kind == "BEGIN":
            if len(words) == 1 and not self.is_primary:
                return "ERROR READONLY -\r\n", state, wrote
            return done, "T", []
        time.sleep(self.work_s)
        with self.database.lock:
            if not self.is_primary and (kind == "WRITE" or (kind == "COMMIT" and wrote)):
                return "ERROR READONLY -\r\n", failed if kind == "WRITE" else "I", []
            self.ran.append((now(), id, text))
            self.record.write("%s runs %s %s" % (self.id, id, text))
            proof = "COMPLETE %s.%s\r\n" % (self.id, id)
            if kind == "READ":
                return "DATAROW %s\r\n" % self.position() + proof, state, wrote
            if kind == "WRITE" and state == "T":
                return proof, state, wrote + [text]
            if kind == "WRITE":
                self.database.commit(self, text)
                return proof, "I", []
            if kind == "COMMIT":
                for each in wrote:
                    self.database.commit(self, each)
                return proof, "I", []
        return "ERROR MALFORMED -\r\n", failed, wrote


class Cloud:
    """POST /failover."""

    def __init__(self, databases, record):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", "0"))))
                record.write("platform: %s asks to promote %s, fence %s" % (
                    self.headers.get("X-Duty-Holder"), body["Id"],
                    self.headers.get("X-Fencing-Token")))
                found = [each for each in databases if each.service == body["Service"]]
                status = 200 if found and found[0].promote(body["Id"]) else 409
                self.wfile.write(b"HTTP/1.1 %d -\r\nContent-Length: 2\r\n\r\n{}" % status)

        self.server = HttpServer(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


class Gateway:
    """One process of the deploy file's command, on a loopback address of its own."""

    def __init__(self, number, store, cloud, directory, bounds=()):
        self.host = "127.0.0.%d" % (10 + number)
        front, ready, control, internal = free_ports(self.host, 4)
        self.front = (self.host, front)
        self.ready = (self.host, ready)
        path = os.path.join(directory, "boot-%d.conf" % number)
        settings = {
            "Node": "front-%d" % number, "Role": "gateway", "MachineClass": "frontend",
            "Serves": "frontend,control_plane", "Ip": self.host, "Zone": "z1", "Region": "r1",
            "Zones.z1": "r1", "Listen.Front": "%s:%d" % (self.host, front),
            "Listen.Ready": "%s:%d" % (self.host, ready),
            "Listen.Control": "%s:%d" % (self.host, control),
            "InternalPorts": "%d,%d" % (internal, internal),
            "Seeds": "%s:%d" % (self.host, control), "Bootstrap": "true",
            "Limits.CpuShare": "0.25", "Limits.Cores": "1", "Limits.MemoryMb": "260",
            "Limits.MaxFds": "4300", "Limits.LinkMbps": "1000.0", "HeartbeatMs": "1200",
            "Contracts": "base,drain,config,cost,recover,sql,platform", "Bounds.StableMs": "5000",
            "Bounds.DrainMs": "7000", "Bounds.GraceS": "6", "Bounds.ApplyMs": "3000",
            "platform.Addr": store, "platform.form": "table", "Cloud.Addr": cloud,
            "Cloud.Duties": "failover", "Cloud.DutyRateS": "50.0"}
        settings.update(bounds)
        with open(path, "w") as file:
            file.write("".join("%s=%s\n" % item for item in settings.items()))
        self.log = open(os.path.join(directory, "log-%d.txt" % number), "w+")
        self.environment = {"PATH": os.environ.get("PATH", ""), "HORNBEAMHOOK_CONFIG": path}
        self.restart()

    def restart(self):
        self.process = subprocess.Popen([str(GATEWAY)], cwd=ROOT, env=self.environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=subprocess.STDOUT)

    def end(self):
        self.process.kill()
        self.process.wait()


class Session:
    """A requester's session. Statements get ids of their own."""

    count = 0
    lock = threading.Lock()

    def __init__(self, address, database, timeout_s=5):
        self.socket = socket.create_connection(address, timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.socket.makefile("rb")
        self.socket.sendall(b"STARTUP %s requester\r\n" % database.encode())
        self.ready = self.file.readline().decode().strip()

    def query(self, text):
        """(id, result line, rows, READY line); the result is "" after a broken connection."""
        with Session.lock:
            Session.count += 1
            id = "q%05d" % Session.count
        rows, result = [], ""
        try:
            self.socket.sendall(("QUERY %s %s\r\n" % (id, text)).encode())
            while True:
                line = self.file.readline().decode().rstrip("\r\n")
                if not line:
                    return id, "", rows, ""
                if line.startswith("DATAROW "):
                    rows.append(line[8:])
                elif line.startswith("READY"):
                    return id, result, rows, line
                else:
                    result = line
        except OSError:
            return id, "", rows, ""

    def close(self):
        self.socket.close()


class Case:
    """Files, processes and time of one script."""

    def __init__(self, folder):
        self.is_disrupted = os.environ.get("TROUBLE", "1") != "0"
        # Ends the processes of a script that is stopped midway, too.
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
        self.record = Record(os.path.join(folder, "record.txt"))
        self.directory = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        self.gateways = []
        self.record.write("TROUBLE=%d" % self.is_disrupted)

    def configure(self, routes, services):
        self.store.put("op", "config", {
            "Version": 1,
            "Routes": [{"Name": "r%d" % i, "Hostname": host, "Prefix": "/", "Service": service,
                        "RouteType": kind, "TimeoutMs": 800, "GoalLatencyMs": 400, "Priority": 1,
                        "MaxAttempts": 2, "MaxStalenessMs": 1500}
                       for i, (host, service, kind) in enumerate(routes)],
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 30, "Protocol": "h1",
                          "Tls": False, "SyncReplicas": 0} for name in services],
            "Limits": {"TxIdleMs": 3000}})

    def start(self, count, cloud, bounds=()):
        for number in range(1, count + 1):
            self.gateways.append(Gateway(number, self.store.address, cloud.address,
                                         self.directory.name, bounds))

    def wait_served(self, database, limit_s=25):
        """Until each gateway completes a write."""
        deadline = now() + limit_s
        waiting = list(self.gateways)
        while waiting and now() < deadline:
            try:
                session = Session(waiting[0].front, database)
                result = session.query("WRITE start 0")[1] if session.ready else ""
                session.close()
                if result.startswith("COMPLETE"):
                    waiting.pop(0)
                    continue
            except OSError:
                pass
            time.sleep(0.1)
        return not waiting

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        self.record.close()
        self.directory.cleanup()
