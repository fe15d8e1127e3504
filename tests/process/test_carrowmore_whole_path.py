"""The plain case of carrowmore under load, without faults."""

import unittest

from fleet_case import FleetCase


class CarrowmoreWholePathTest(FleetCase):
    deployment = "carrowmore"

    def test_whole_path(self):
        # Guards against violations in the plain case of this deployment.
        report = self.finish_clean(self.start_load(3))
        self.assertGreater(report["replica_read_share"]["not_strict"], 0.95)
        self.assertGreater(report["replica_read_share"]["strict"], 0.80)


if __name__ == "__main__":
    unittest.main()
