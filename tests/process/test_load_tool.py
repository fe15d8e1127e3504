"""The load tool as a process in front of a fake proxy: a tool that cannot fail proves nothing."""

import json
import os
import subprocess
import tempfile
import unittest

import fake_proxy

BUILD = os.environ.get(
    "HORNBEAMHOOK_BUILD", os.path.join(os.path.dirname(__file__), "..", "..", "build")
)


def run_load(proxy, deployment="nile_horn", options=()):
    """Runs the tool; returns its exit code, its report and its output."""
    with tempfile.TemporaryDirectory() as folder:
        settings = os.path.join(folder, "load.json")
        report = os.path.join(folder, "report.json")
        with open(settings, "w") as file:
            json.dump(
                {
                    "deployment": deployment,
                    "credential": "secret",
                    "pools": ["ledger"],
                    "proxies": [{"name": "p1", "place": "here", "address": proxy.address}],
                },
                file,
            )
        command = [os.path.join(BUILD, "hornbeamhook-load"), "--settings", settings]
        command += ["--report-json", report, "--duration", "1", "--warm-up", "0.2"]
        command += ["--clients", "4", "--seed", "7", *options]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        content = None
        if os.path.exists(report):
            with open(report) as file:
                content = json.load(file)
        return done.returncode, content, done.stdout + done.stderr


class LoadToolTest(unittest.TestCase):
    def run_with(self, defect, **arguments):
        proxy = fake_proxy.FakeProxy(defect)
        self.addCleanup(proxy.close)
        return run_load(proxy, **arguments)

    def test_reports_no_violation_of_a_correct_system(self):
        # Guards against false alarms, with both workloads and both modes.
        for deployment in ("nile_horn", "carrowmore"):
            for options in ((), ("--rate", "100")):
                with self.subTest(deployment=deployment, options=options):
                    code, report, output = self.run_with(
                        None, deployment=deployment, options=options
                    )
                    self.assertEqual(code, 0, output)
                    self.assertEqual(report["violations_total"], 0)
                    self.assertGreater(report["reads_total"], 0)
                    self.assertGreater(report["writes_acknowledged"], 0)
                    self.assertIn("seed=7", output)

    def test_notices_each_defect(self):
        # Guards against a whole tool that overlooks what its checker would count.
        for defect in (
            "stale_own_reads",
            "reads_older_than_asked",
            "lost_acknowledged",
            "doubled",
            "mixed_transactions",
            "wrong_answers",
            "false_not_run",
        ):
            with self.subTest(defect=defect):
                code, report, output = self.run_with(defect)
                self.assertEqual(code, 1, output)
                self.assertGreater(report["violations"][defect], 0, output)

    def test_counts_a_wrong_answer_to_a_final_read(self):
        # Guards against a run that ends without a report when the last reads show the violation.
        code, report, output = self.run_with("wrong_final_answer")
        self.assertEqual(code, 1, output)
        self.assertEqual(report["violations"]["wrong_answers"], 1, output)

    def test_bad_settings_name_the_field(self):
        # Guards against a run with settings that were misunderstood.
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"deployment": "elsewhere"}')
            file.flush()
            done = subprocess.run(
                [os.path.join(BUILD, "hornbeamhook-load"), "--settings", file.name],
                capture_output=True,
                text=True,
                timeout=60,
            )
        self.assertEqual(done.returncode, 2)
        self.assertIn("deployment", done.stderr)


if __name__ == "__main__":
    unittest.main()
