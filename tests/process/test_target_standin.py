"""The target stand-in as a process: settings, signals, and a restart after a kill."""

import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
import unittest
import urllib.request

BUILD = os.environ.get(
    "HORNBEAMHOOK_BUILD",
    os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "build"),
)
PROGRAM = os.path.join(BUILD, "hornbeamhook-target-standin")
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START_TIMEOUT = 20


def get_free_address():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % listener.getsockname()[1]


class SimpleClient:
    """Enough of the PostgreSQL protocol for simple queries."""

    def __init__(self, address):
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=START_TIMEOUT)
        self.stream = self.socket.makefile("rwb")
        body = struct.pack("!i", 196608) + b"user\0x\0\0"
        self.stream.write(struct.pack("!i", len(body) + 4) + body)
        self.stream.flush()
        self.read_answer()

    def read_answer(self):
        rows = []
        while True:
            kind, length = struct.unpack("!ci", self.stream.read(5))
            body = self.stream.read(length - 4)
            if kind == b"D":
                size = struct.unpack("!i", body[2:6])[0]
                rows.append(body[6 : 6 + size].decode())
            if kind == b"E":
                raise AssertionError(body.decode())
            if kind == b"Z":
                return rows

    def query(self, sql):
        body = sql.encode() + b"\0"
        self.stream.write(b"Q" + struct.pack("!i", len(body) + 4) + body)
        self.stream.flush()
        return self.read_answer()

    def close(self):
        self.stream.close()
        self.socket.close()


class TargetStandinTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.settings = {
            "name": "a",
            "listen_address": get_free_address(),
            "control_address": get_free_address(),
            "replication_address": get_free_address(),
            "initial_primary": "a",
            "data_directory": os.path.join(directory.name, "data"),
            "connect_cost_ms": 0,
        }

    def write_settings(self, settings):
        path = os.path.join(self.directory, "settings.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        return path

    def run_program(self, *arguments):
        return subprocess.run(
            [PROGRAM, *arguments], capture_output=True, text=True, timeout=START_TIMEOUT
        )

    def start(self):
        path = self.write_settings(self.settings)
        process = subprocess.Popen([PROGRAM, "--settings", path], stderr=subprocess.DEVNULL)

        def end():
            if process.poll() is None:
                process.kill()
            process.wait()

        self.addCleanup(end)
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            try:
                self.get_report()
                return process
            except OSError:
                self.assertIsNone(process.poll(), "the process ended")
                time.sleep(0.01)
        self.fail("the control interface does not answer")

    def get_report(self):
        url = "http://%s/control/status" % self.settings["control_address"]
        with urllib.request.urlopen(url, timeout=START_TIMEOUT) as answer:
            return json.load(answer)

    def query(self, sql):
        client = SimpleClient(self.settings["listen_address"])
        try:
            return client.query(sql)
        finally:
            client.close()

    def test_bad_settings_exit_with_2_and_name_the_field(self):
        # Guards against a process that starts with settings it does not understand.
        cases = [
            (dict(self.settings, slots=0), "settings: slots: 0 is not allowed"),
            (dict(self.settings, slot=1), "settings: slot: unknown field"),
            ({"name": "a"}, "settings: listen_address: missing"),
        ]
        for settings, message in cases:
            with self.subTest(message=message):
                done = self.run_program("--settings", self.write_settings(settings))
                self.assertEqual(done.returncode, 2)
                self.assertIn(message, done.stderr)
        self.assertEqual(self.run_program().returncode, 2)
        self.assertEqual(self.run_program("--settings", "/nowhere").returncode, 2)
        self.assertEqual(self.run_program("--nonsense").returncode, 2)
        self.assertEqual(self.run_program("--help").returncode, 0)
        self.assertEqual(self.run_program("--version").returncode, 0)

    def test_example_settings_are_valid(self):
        # Guards against an example that the program refuses.
        with open(os.path.join(ROOT, "examples", "settings", "target-standin.json")) as file:
            example = json.load(file)
        for field in ("listen_address", "control_address", "replication_address"):
            example[field] = self.settings[field]
        self.settings = example
        process = self.start()
        self.assertEqual(self.get_report()["name"], example["name"])
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(START_TIMEOUT), 0)

    def test_killed_target_keeps_what_it_answered(self):
        # Guards against a killed primary that comes back empty and in its first term.
        process = self.start()
        self.query("CREATE TABLE part (id INTEGER)")
        for i in range(20):
            self.query("INSERT INTO part VALUES (%d)" % i)
        self.query("SELECT hornbeamhook_fence('7', 'x')")
        process.kill()
        process.wait()
        self.start()
        self.assertEqual(self.query("SELECT count(*) FROM part"), ["20"])
        status = self.get_report()["status"]
        self.assertEqual(status["position"], 21)
        self.assertEqual(status["accepted_term"], 7)
        self.assertFalse(status["is_primary"])

    def test_taken_address_or_directory_is_an_error(self):
        # Guards against a second process that seems to run but receives nothing.
        self.start()
        other = dict(self.settings, data_directory=os.path.join(self.directory, "other"))
        for settings, message in (
            (other, self.settings["listen_address"]),
            (self.settings, self.settings["data_directory"]),
        ):
            with self.subTest(message=message):
                done = self.run_program("--settings", self.write_settings(settings))
                self.assertEqual(done.returncode, 1)
                self.assertIn(message, done.stderr)


if __name__ == "__main__":
    unittest.main()
