"""Links that lose one direction under load."""

import unittest

from fleet_case import FleetCase


class HalfOpenLinksTest(FleetCase):
    def test_half_open_links(self):
        # Guards against treating a request whose answer was lost as one that did not run.
        self.run_with_fault(["vm1>ledger_b/*", "vm4>vm*"], "half_open", lost="answer")
        self.run_with_fault(["vm1>ledger_b/*", "vm4>vm*"], "half_open", lost="request")


if __name__ == "__main__":
    unittest.main()
