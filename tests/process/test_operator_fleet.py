"""The operator tool against a whole fleet."""

import json
import os
import subprocess
import unittest

from fleet_case import FleetCase, fleet_module, wait_for

CTL = os.path.join(fleet_module.BUILD, "hornbeamhook-ctl")
LIMIT_S = 60
# Invariant 9 of docs/design.md.
MAX_IN_FORCE_MS = 3000


class OperatorFleetCase(FleetCase):
    """Runs the tool against the fleet of the test."""

    def run_ctl(self, text, *options):
        path = os.path.join(self.fleet.directory, "ctl.json")
        with open(path, "w") as file:
            json.dump(
                {
                    "platform_address": self.fleet.platform_address,
                    "fleet_secret": fleet_module.FLEET_SECRET,
                    "operator": "operator",
                    "credential": fleet_module.OPERATOR_CREDENTIAL,
                },
                file,
            )
        return subprocess.run(
            [CTL, "--settings", path, "--output", "json", "-c", text, *options],
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )

    def run_well(self, text):
        result = self.run_ctl(text)
        self.assertEqual(result.returncode, 0, result.stderr)
        return [json.loads(line) for line in result.stdout.splitlines()]

    def wait_all_listed(self):
        wait_for(
            lambda: len(self.run_well("show vms;")[0]["rows"]) == len(self.fleet.proxies),
            20,
            "all proxies in the VM list",
        )

    def get_proxy(self):
        return sorted(self.fleet.proxies)[0]


class OperatorFleetTest(OperatorFleetCase):
    def test_a_change_is_in_force_everywhere_in_time(self):
        # Guards against changes that reach some proxies late or not at all.
        self.wait_all_listed()
        for length in (100, 101, 102):
            answers = self.run_well("alter pool ledger_a set queue_length = %d; wait;" % length)
            self.assertEqual(answers[1]["proxies"], len(self.fleet.proxies))
            self.assertLessEqual(answers[1]["waited_ms"], MAX_IN_FORCE_MS)

    def test_an_outage_freezes_the_configuration_and_nothing_else(self):
        # Guards against changes that are lost or half made in an outage, and against proxies that
        # stop to serve because of it.
        self.wait_all_listed()
        before = self.run_well("show pools;")[0]["configuration_version"]
        self.fleet.platform_fault(outage="refuse")
        try:
            result = self.run_ctl("alter pool ledger_b set queue_length = 77;")
            self.assertEqual(result.returncode, 5, result.stderr)
            answer = self.run_statement(
                self.get_proxy(), "ledger_b", "SELECT 1", kind="read", read_policy={"strict": True}
            )
            self.assertEqual(answer["outcome"], "ok", answer)
        finally:
            self.fleet.platform_fault(outage="none")
        answers = self.run_well("alter pool ledger_b set queue_length = 78; wait; show pools;")
        self.assertEqual(answers[0]["version"], before + 1)
        self.assertEqual(answers[1]["proxies"], len(self.fleet.proxies))

    def test_a_planned_change_is_explained(self):
        # Guards against a change of primary that is not recorded or cannot be told.
        self.wait_settled()
        primary = self.fleet.get_primary("ledger_c")
        target = next(
            name.split("/")[1]
            for name, value in sorted(self.fleet.targets.items())
            if value["pool"] == "ledger_c" and name != primary
        )
        self.run_well("change primary of ledger_c to %s;" % target)
        wait_for(
            lambda: self.fleet.get_primary("ledger_c") == "ledger_c/" + target, 10, "the new primary"
        )

        def get_recorded():
            rows = self.run_well("select number from failovers where pool = ledger_c;")[0]["rows"]
            return rows[-1]["number"] if rows else None

        number = wait_for(get_recorded, 10, "the record of the promotion")
        story = self.run_well("explain failover %d;" % number)[0]
        self.assertIn(target, json.dumps(story["rows"]))
        times = [row["after_ms"] for row in story["rows"] if row["after_ms"] is not None]
        self.assertEqual(times, sorted(times))
        self.assertEqual(times[-1], story["gap_ms"])

    def test_usage_counts_each_request_once(self):
        # Guards against requests that the usage rows miss or count twice.
        count = 20
        for _ in range(count):
            answer = self.run_statement(
                self.get_proxy(), "ledger_a", "SELECT 1", kind="read", read_policy={"strict": True}
            )
            self.assertEqual(answer["outcome"], "ok", answer)

        def get_reads():
            rows = self.run_well("select sum(reads) as reads from usage where pool = ledger_a;")
            return rows[0]["rows"][0]["reads"]

        wait_for(lambda: get_reads() >= count, 25, "the usage rows")
        self.assertEqual(get_reads(), count)


if __name__ == "__main__":
    unittest.main()
