"""Links to targets that go silent under load."""

import unittest

from fleet_case import FleetCase


class SilentTargetLinksTest(FleetCase):
    def test_silent_connections_to_targets(self):
        # Guards against waiting for ever on connections that died without a reset.
        self.run_with_fault(["vm*>ledger_a/*"], "silence")


if __name__ == "__main__":
    unittest.main()
