"""A VM drained by an operator gets no new work."""

import json
import os
import subprocess
import unittest

from fleet_case import FleetCase, fleet_module, wait_for

CTL = os.path.join(fleet_module.BUILD, "hornbeamhook-ctl")
LIMIT_S = 60


class VmDrainTest(FleetCase):
    def run_well(self, text):
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
        result = subprocess.run(
            [CTL, "--settings", path, "--output", "json", "-c", text],
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        return [json.loads(line) for line in result.stdout.splitlines()]

    def get_listed(self, vm):
        rows = self.run_well("show vms;")[0]["rows"]
        return next((row["listed"] for row in rows if row["vm"] == vm), None)

    def is_home(self, vm):
        rows = self.run_well("show homes;")[0]["rows"]
        return any(vm in row["value"] for row in rows)

    def test_a_drained_vm_is_unready_and_no_home(self):
        # Guards against a drain of a VM that only changes the list.
        vm = sorted(self.fleet.proxies)[2]
        wait_for(lambda: self.get_listed(vm) == "live", 20, "the VM list")
        self.run_well("drain vm %s;" % vm)
        wait_for(lambda: self.get_listed(vm) == "leaving", 20, "the VM list")
        wait_for(lambda: not self.fleet.is_ready(vm), 10, "the drained proxy to be unready")
        wait_for(lambda: not self.is_home(vm), 10, "the drained proxy to give up its homes")


if __name__ == "__main__":
    unittest.main()
