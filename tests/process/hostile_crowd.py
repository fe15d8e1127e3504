"""One gateway with stand-ins on loopback, and bounded crowds of clients that break its limits."""

import base64
import http.server
import json
import os
import selectors
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
import unittest
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("HORNBEAMHOOK_BUILD", os.path.join(ROOT, "build"))
GATEWAY = os.path.join(BUILD, "hornbeamhook-gateway")

# The settings of the process. A crowd may cost the process no more than these allow.
MEMORY_MB = 48
MAX_FDS = 400
FILE_FDS = 200  # Reserved for files; sockets share the rest.
KIB = 1024
START_LIMIT_S = 30
ANSWER_LIMIT_S = 30
SAMPLE_INTERVAL_S = 0.05


def find_free_ports(count):
    """Ports free for TCP and UDP on 127.0.0.1."""
    held = []
    while len(held) < count:
        tcp = socket.socket()
        tcp.bind(("127.0.0.1", 0))
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind(tcp.getsockname())
        except OSError:
            tcp.close()
            udp.close()
            continue
        held.append((tcp, udp))
    ports = [tcp.getsockname()[1] for tcp, _ in held]
    for tcp, udp in held:
        tcp.close()
        udp.close()
    return ports


class Store:
    """The platform's store: rows in one part, conditional transactions and watches."""

    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}
        self.version = 0
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

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
                body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                if self.path == "/v1/rows-tx":
                    self.answer(*store.change(json.loads(body)))
                else:
                    self.answer(409, {})

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
            self._set(table, key, encoded)
            self.changed.notify_all()

    def _set(self, table, key, value):
        self.rows[table, key] = {
            "Table": table, "part": "", "Key": key, "Value": value or "",
            "RowVersion": self.version, "Tombstone": value is None,
        }

    def read(self, table, start):
        with self.changed:
            rows = [row for (name, key), row in sorted(self.rows.items())
                    if name == table and key >= start and not row["Tombstone"]]
            return {"rows": rows, "RowVersion": self.version, "HasMore": False,
                    "NowMs": int(time.monotonic() * 1000)}

    def watch(self, table, after, wait_s):
        def get_rows():
            return sorted((row for (name, _), row in self.rows.items()
                           if name == table and row["RowVersion"] > after),
                          key=lambda row: row["RowVersion"])

        with self.changed:
            self.changed.wait_for(get_rows, wait_s)
            return {"rows": get_rows(), "RowVersion": self.version}

    def change(self, body):
        with self.changed:
            def find(row):
                found = self.rows.get((row["Table"], row["Key"]))
                return None if found is None or found["Tombstone"] else found

            for row in body["Expect"]:
                found = find(row)
                if (found["RowVersion"] if found else 0) != row["RowVersion"]:
                    rows = [entry for entry in map(find, body["Expect"]) if entry]
                    return 412, {"rows": rows, "RowVersion": self.version}
            self.version += 1
            for row in body["Puts"]:
                self._set(row["Table"], row["Key"], row["Value"])
            for row in body["Remove"]:
                self._set(row["Table"], row["Key"], None)
            self.changed.notify_all()
            return 200, {"RowVersion": self.version}

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class Target:
    """A primary that answers every statement; READ of "large" is answered with 4 MB."""

    large_rows = 16
    row_bytes = 256 * KIB

    def __init__(self):
        self.position = 1
        target = self

        class Handler(socketserver.StreamRequestHandler):
            disable_nagle_algorithm = True

            def handle(self):
                state = b"I"
                try:
                    for line in self.rfile:
                        words = line.rstrip(b"\r\n").split(b" ", 4)
                        if words[0] == b"STARTUP":
                            self.wfile.write(b"READY I 1.%d\r\n" % target.position)
                            continue
                        if words[0] != b"QUERY":
                            return
                        text = words[2:]
                        if text[0] == b"WAITLSN":
                            text = words[4].split(b" ", 2)
                        rows = b""
                        if text[0] == b"BEGIN":
                            state = b"T"
                        elif text[0] in (b"COMMIT", b"ROLLBACK"):
                            state = b"I"
                        elif text[0] in (b"STATUS", b"PAUSE", b"RESUME", b"STEPDOWN"):
                            rows = b"DATAROW primary 1 1.%d 1 0 0 1\r\n" % target.position
                        elif text[0] == b"READ":
                            rows = b"DATAROW value\r\n"
                            if text[1] == b"large":
                                row = b"DATAROW " + b"r" * target.row_bytes + b"\r\n"
                                rows = row * target.large_rows
                        elif text[0] == b"WRITE":
                            target.position += 1
                        self.wfile.write(rows + b"COMPLETE 1.aa\r\nREADY %s 1.%d\r\n"
                                         % (state, target.position))
                except OSError:
                    pass

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class Crowd:
    """Clients that each send `payload` and read only if told to. Ends by itself."""

    def __init__(self, port, count, payload, piece=None, interval_s=0.0, read_bytes=0,
                 is_closing=False, small_buffers=False):
        self.port = port
        self.count = count
        self.payload = memoryview(payload)
        self.piece = piece or len(payload)
        self.interval_s = interval_s
        self.read_bytes = read_bytes  # Read from each connection in each round.
        self.is_closing = is_closing  # Closes after sending.
        self.small_buffers = small_buffers

    def connect(self):
        connection = socket.socket()
        if self.small_buffers:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)
        connection.setblocking(False)
        connection.connect_ex(("127.0.0.1", self.port))
        return connection

    def run(self, duration_s):
        """Sends to each connection until all is sent or it was closed, then waits for the end."""
        deadline = time.monotonic() + duration_s
        selector = selectors.DefaultSelector()
        sent = {}
        next_at = {}
        open_connections = set()
        try:
            for _ in range(self.count):
                connection = self.connect()
                sent[connection] = 0
                next_at[connection] = 0
                open_connections.add(connection)
                selector.register(connection, selectors.EVENT_WRITE)
            while time.monotonic() < deadline and open_connections:
                busy = False
                for key, _ in selector.select(0.05) if selector.get_map() else ():
                    connection = key.fileobj
                    if time.monotonic() < next_at[connection]:
                        continue
                    busy = True
                    begin = sent[connection]
                    try:
                        sent[connection] += connection.send(
                            self.payload[begin:begin + self.piece])
                    except BlockingIOError:
                        continue
                    except OSError:
                        selector.unregister(connection)
                        connection.close()
                        open_connections.discard(connection)
                        continue
                    next_at[connection] = time.monotonic() + self.interval_s
                    if sent[connection] == len(self.payload):
                        selector.unregister(connection)
                        if self.is_closing:
                            connection.close()
                            open_connections.discard(connection)
                for connection in list(open_connections) if self.read_bytes else ():
                    try:
                        connection.recv(self.read_bytes)
                    except BlockingIOError:
                        pass
                    except OSError:
                        pass
                if not busy:
                    time.sleep(0.02)
        finally:
            for connection in open_connections:
                connection.close()
            selector.close()


class OutsideCase(unittest.TestCase):
    """Starts one gateway per test, with a low limit of memory and of descriptors."""

    def setUp(self):
        self.assertTrue(os.path.exists(GATEWAY), GATEWAY)
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.target = Target()
        self.addCleanup(self.target.stop)
        self.store.put("op", "config", {
            "Version": 1,
            "Routes": [{"Hostname": "db", "Service": "svc", "RouteType": "primary",
                        "TimeoutMs": 20000, "GoalLatencyMs": 10000, "Priority": 1}],
            "Services": [{"Name": "svc", "MaxConns": 20}],
            "Limits": {"TxIdleMs": 20000},
        })
        self.store.put("servers", "t-1", {
            "Service": "svc", "Addr": self.target.address, "Zone": "z1", "Version": "1",
            "Slots": 3, "State": "ready", "WarmupLeftMs": 0, "Seq": 1, "DbRole": "primary",
        })
        self.front, self.ready, self.control, self.internal = find_free_ports(4)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = os.path.join(directory.name, "settings")
        with open(path, "w") as file:
            file.write("\n".join([
                "Node=front-1", "Ip=127.0.0.1", "Zone=z1", "Region=r1", "Zones.z1=r1",
                "Listen.Front=127.0.0.1:%d" % self.front,
                "Listen.Ready=127.0.0.1:%d" % self.ready,
                "Listen.Control=127.0.0.1:%d" % self.control,
                "InternalPorts=%d,%d" % (self.internal, self.internal),
                "Seeds=127.0.0.1:%d" % self.control,
                "Limits.MemoryMb=%d" % MEMORY_MB, "Limits.MaxFds=%d" % MAX_FDS,
                "Bounds.GraceS=6", "platform.Addr=" + self.store.address,
                "Cloud.Addr=" + self.store.address, ""]))
        self.log = open(os.path.join(directory.name, "log"), "w+")
        self.addCleanup(self.log.close)
        self.process = subprocess.Popen([GATEWAY, "--settings", path], stdout=self.log,
                                        stderr=subprocess.STDOUT)
        self.addCleanup(self.end_process)
        self.peak_fds = 0
        self.stop_sampling = threading.Event()
        self.sampler = threading.Thread(target=self.sample_fds, daemon=True)
        self.sampler.start()
        self.addCleanup(self.end_sampling)
        self.wait_answered(START_LIMIT_S)

    def end_process(self):
        self.process.kill()
        self.process.wait()

    def end_sampling(self):
        self.stop_sampling.set()
        self.sampler.join()

    def sample_fds(self):
        while not self.stop_sampling.wait(SAMPLE_INTERVAL_S):
            try:
                count = len(os.listdir("/proc/%d/fd" % self.process.pid))
            except OSError:
                return
            self.peak_fds = max(self.peak_fds, count)

    def get_kib(self, field):
        with open("/proc/%d/status" % self.process.pid) as file:
            for line in file:
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        return 0

    def ask(self):
        """One ordinary write; None unless it is completed."""
        try:
            with socket.create_connection(("127.0.0.1", self.front), 5) as connection:
                connection.settimeout(5)
                file = connection.makefile("rb")
                connection.sendall(b"STARTUP db user\r\n")
                if not file.readline().startswith(b"READY I"):
                    return None
                connection.sendall(b"QUERY a1 WRITE item value\r\n")
                answer = file.readline()
                return answer if answer.startswith(b"COMPLETE") else None
        except OSError:
            return None

    def wait_answered(self, limit_s):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if self.process.poll() is not None or self.ask():
                break
            time.sleep(0.2)
        else:
            self.fail("no ordinary request was answered: " + self.read_log())

    def read_log(self):
        self.log.flush()
        with open(self.log.name) as file:
            return file.read()[-4000:]

    def check_bounds(self):
        """The process lives within its limits and answers an ordinary request."""
        self.assertIsNone(self.process.poll(), "the process ended: " + self.read_log())
        self.wait_answered(ANSWER_LIMIT_S)
        self.assertIsNone(self.process.poll(), "the process ended: " + self.read_log())
        peak, now = self.get_kib("VmHWM"), self.get_kib("VmRSS")
        text = "peak %d KiB, now %d KiB, peak descriptors %d" % (peak, now, self.peak_fds)
        print(self.id().split(".")[-1] + ": " + text, flush=True)
        self.assertLess(peak, MEMORY_MB * KIB, text)
        self.assertLess(self.peak_fds, MAX_FDS - FILE_FDS, text)


START = b"STARTUP db user\r\n"
RELAY_START = b"STARTUP svc front-9 t-1\r\nLIMITS 10000 1\r\n"


def make_write(size, number=1):
    """A WRITE of `size` bytes in all."""
    head = b"QUERY q%d WRITE item " % number
    return head + b"w" * (size - len(head) - 2) + b"\r\n"


if __name__ == "__main__":
    unittest.main()
