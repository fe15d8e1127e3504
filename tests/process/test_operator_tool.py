"""The operator tool and the platform stand-in as real processes."""

import json
import os
import pty
import re
import select
import signal
import socket
import subprocess
import tempfile
import time
import unittest
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("HORNBEAMHOOK_BUILD", os.path.join(ROOT, "build"))
CTL = os.path.join(BUILD, "hornbeamhook-ctl")
STANDIN = os.path.join(BUILD, "hornbeamhook-platform-standin")
LIMIT_S = 30


def get_free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class OperatorTool(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.address = "127.0.0.1:%d" % get_free_port()
        standin = self.write_json(
            "platform.json", {"listen_address": self.address, "vm_list_lag_ms": 0}
        )
        self.log = open(os.path.join(self.folder.name, "platform.log"), "wb")
        self.addCleanup(self.log.close)
        self.process = subprocess.Popen([STANDIN, "--settings", standin], stderr=self.log)
        self.addCleanup(self.stop_standin)
        self.settings = self.write_json(
            "ctl.json",
            {"platform_address": self.address, "fleet_secret": "s", "operator": "ada"},
        )
        self.wait_for_standin()

    def write_json(self, name, value):
        path = os.path.join(self.folder.name, name)
        with open(path, "w") as file:
            json.dump(value, file)
        return path

    def write_script(self, text):
        path = os.path.join(self.folder.name, "script.hbq")
        with open(path, "wb") as file:
            file.write(text.encode())
        return path

    def stop_standin(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(LIMIT_S), 0)

    def call(self, method, path, body=None):
        request = urllib.request.Request(
            "http://%s%s" % (self.address, path),
            method=method,
            data=None if body is None else json.dumps(body).encode(),
        )
        with urllib.request.urlopen(request, timeout=LIMIT_S) as answer:
            return json.load(answer)

    def wait_for_standin(self):
        limit = time.monotonic() + LIMIT_S
        while time.monotonic() < limit:
            try:
                self.call("GET", "/control/status")
                return
            except (urllib.error.URLError, ConnectionError):
                time.sleep(0.02)
        self.fail("the stand-in does not answer")

    def run_ctl(self, *arguments, text=None, settings=None):
        return subprocess.run(
            [CTL, "--settings", settings or self.settings, *arguments],
            input=text,
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )

    def get_version(self):
        try:
            return self.call("GET", "/v1/table/config/head")["value"]["version"]
        except urllib.error.HTTPError as error:
            error.close()
            return 0

    def test_example_scripts_create_both_deployments(self):
        """Guards against examples that the tool refuses."""
        for name, pools in (("nile_horn", 3), ("carrowmore", 6)):
            path = os.path.join(ROOT, "examples", name + ".hbq")
            result = self.run_ctl("--output", "json", "-f", path)
            self.assertEqual(result.returncode, 0, result.stderr)
            answers = [json.loads(line) for line in result.stdout.splitlines()]
            shown = [a for a in answers if a["statement"] == "show pools"]
            self.assertEqual(len(shown[0]["rows"]), pools)
            credentials = [a["credential"] for a in answers if "credential" in a]
            self.assertEqual(len(credentials), len(set(credentials)))
            self.assertGreaterEqual(len(credentials), 3)

    def test_exit_codes_tell_what_happened(self):
        """Guards against scripts that cannot tell a conflict from an outage or a typing error."""
        self.assertEqual(self.run_ctl("-c", "create pool p;").returncode, 0)
        cases = [
            (["-c", "create pool p;"], 1, "command:1:1: pool p already exists"),
            (["-c", "show pools; frob;"], 3, "command:1:13: expected one of"),
            (["-c", "alter pool p if version 7 set queue_length = 1;"], 4, "conflict"),
            (["-c", "wait within 0;"], 7, "no live proxy"),
            (["--output", "xml", "-c", "help;"], 2, "allowed: json, table"),
            (["-f", "/nonexistent/script"], 2, "cannot be read"),
            (["-f", "a", "-c", "b"], 2, "only one of"),
        ]
        for arguments, code, text in cases:
            result = self.run_ctl(*arguments)
            self.assertEqual(result.returncode, code, (arguments, result.stderr))
            self.assertIn(text, result.stderr)
        self.call("POST", "/control/faults", {"outage": "refuse"})
        self.assertEqual(self.run_ctl("-c", "create pool q;").returncode, 5)
        self.call("POST", "/control/faults", {"outage": "none"})
        self.assertEqual(self.get_version(), 1)

    def test_settings_errors_name_field_value_and_what_is_allowed(self):
        """Guards against settings that are ignored or refused without saying why."""
        wrong = self.write_json("wrong.json", {"platform_address": self.address, "speed": 1})
        result = self.run_ctl("-c", "help;", settings=wrong)
        self.assertEqual(result.returncode, 2)
        self.assertIn("speed: unknown field with value 1", result.stderr)
        wrong = self.write_json("wrong.json", {"listen_address": "127.0.0.1:1", "threads": 0})
        result = subprocess.run(
            [STANDIN, "--settings", wrong], capture_output=True, text=True, timeout=LIMIT_S
        )
        self.assertEqual(result.returncode, 2)
        self.assertIn("threads: 0 is not allowed; allowed: an integer from 1 to 64", result.stderr)

    def test_a_script_stops_at_the_first_error(self):
        """Guards against statements that run after a failed one."""
        script = self.write_script("create pool a;\n-- comment\n  create pool a;\ncreate pool b;\n")
        result = self.run_ctl("-f", script)
        self.assertEqual(result.returncode, 1)
        self.assertIn("script.hbq:3:3: pool a already exists", result.stderr)
        self.assertEqual(self.get_version(), 1)

    def test_standard_input_is_a_script(self):
        """Guards against input that is dropped when there is no terminal."""
        result = self.run_ctl(text="create pool a; show\npools;")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("(1 row)", result.stdout)

    def test_racing_processes_have_one_winner_per_object(self):
        """Guards against two operators who both change one version of an object."""
        self.assertEqual(self.run_ctl("-c", "create pool p;").returncode, 0)
        commands = [
            "alter pool p if version 1 set queue_length = %d; create pool own%d;" % (i, i)
            for i in range(1, 7)
        ]
        processes = [
            subprocess.Popen(
                [CTL, "--settings", self.settings, "-c", command],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            for command in commands
        ]
        codes = [process.wait(LIMIT_S) for process in processes]
        self.assertEqual(sorted(codes), [0, 4, 4, 4, 4, 4])
        self.assertEqual(self.get_version(), 3)

    def test_reports_are_written_to_files(self):
        """Guards against reports that cannot be passed on."""
        svg = os.path.join(self.folder.name, "month.svg")
        csv = os.path.join(self.folder.name, "month.csv")
        result = self.run_ctl(
            "-c",
            "report month 2026-12 as svg '%s'; report month 2026-12 as csv '%s';" % (svg, csv),
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        with open(svg) as file:
            self.assertTrue(file.read().startswith("<svg "))
        with open(csv) as file:
            self.assertTrue(file.read().startswith("pool,requests,"))

    def test_console_edits_completes_and_survives_errors(self):
        """Guards against a console that ends at the first error or offers no completion."""
        environment = dict(os.environ, TERM="xterm", HOME=self.folder.name)
        pid, terminal = pty.fork()
        if pid == 0:
            os.execve(CTL, [CTL, "--settings", self.settings], environment)
        seen = ""

        def expect(pattern):
            nonlocal seen
            limit = time.monotonic() + LIMIT_S
            while not re.search(pattern, seen):
                self.assertLess(time.monotonic(), limit, seen)
                ready, _, _ = select.select([terminal], [], [], 0.2)
                if ready:
                    seen += os.read(terminal, 4096).decode(errors="replace")
            seen = seen[re.search(pattern, seen).end() :]

        def send(text):
            os.write(terminal, text.encode())

        try:
            expect("hornbeamhook> ")
            send("frob;\n")
            expect("console:1:1: expected one of")
            expect("hornbeamhook> ")
            send("cre\tpoo\tp;\n")
            expect("pool p: in force as of version 1")
            send("show\n")
            expect("-> ")
            send("pools;\n")
            expect(r"\(1 row\)")
            send("exit;\n")
            _, status = os.waitpid(pid, 0)
            self.assertEqual(os.waitstatus_to_exitcode(status), 0)
        finally:
            os.close(terminal)
        with open(os.path.join(self.folder.name, ".hornbeamhook_history")) as file:
            self.assertIn("frob;", file.read().replace("\\040", " "))


if __name__ == "__main__":
    unittest.main()
