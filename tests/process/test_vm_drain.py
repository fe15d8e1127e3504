"""A VM drained by an operator gets no new work."""

import json
import os
import subprocess
import unittest

from fleet_case import FleetCase, fleet_module, wait_for

CTL = os.path.join(fleet_module.BUILD, "hornbeamhook-ctl")
LIMIT_S = 60


class VmDrainTest(FleetCase):
    # 13 proxies put three into the first data centre, of which two read the store.
    fleet_arguments = {"proxy_count": 13}

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

    def is_store_reader(self, vm):
        status, body = fleet_module.call_http(
            self.fleet.proxies[vm]["address"],
            "GET",
            "/internal/v1/status",
            headers={"X-Hornbeamhook-Fleet": fleet_module.FLEET_SECRET},
        )
        self.assertEqual(status, 200, body)
        return body["is_store_reader"]

    def drain(self, vm):
        wait_for(lambda: self.get_listed(vm) == "live", 20, "the VM list")
        self.run_well("drain vm %s;" % vm)
        wait_for(lambda: self.get_listed(vm) == "leaving", 20, "the VM list")
        wait_for(lambda: not self.fleet.is_ready(vm), 10, "the drained proxy to be unready")
        wait_for(lambda: not self.is_home(vm), 10, "the drained proxy to give up its homes")

    def test_a_drained_vm_is_unready_and_no_home(self):
        # Guards against a drain of a VM that only changes the list.
        readers = [vm for vm in ("vm2", "vm5", "vm8") if self.is_store_reader(vm)]
        self.drain(readers[0])

    def test_a_drained_vm_that_does_not_read_the_list_is_unready_and_no_home(self):
        # Guards against a drain that only store readers see.
        center = self.fleet.proxies["vm1"]["data_center"]
        vms = [
            vm
            for vm, proxy in sorted(self.fleet.proxies.items())
            if proxy["data_center"] == center
        ]
        self.assertEqual(len(vms), 3)

        def find_others():
            return [vm for vm in vms if not self.is_store_reader(vm)]

        wait_for(lambda: len(find_others()) == 1, 20, "one VM that does not read the store")
        self.drain(find_others()[0])


if __name__ == "__main__":
    unittest.main()
