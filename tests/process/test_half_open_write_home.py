"""The home of all writes loses the answers of its primary."""

import time
import unittest

from fleet_case import FleetCase

# Several times the 600 ms in which two polls in a row fail.
DETECTION_S = 2


class HalfOpenWriteHomeTest(FleetCase):
    def find_write_home(self, primary):
        """The first home takes all writes, so it sends the most bytes to the primary."""
        links = self.fleet.get_links()
        return max(
            self.fleet.proxies,
            key=lambda name: links["%s>%s" % (name, primary)]["bytes_to_upstream"],
        )

    def test_write_home_that_gets_no_answers_from_the_primary(self):
        # Guards against a home that cannot reach the primary and keeps the writes of all callers
        # until their deadlines although the other home reaches it.
        self.wait_settled()
        primary = self.fleet.get_primary("ledger_b")
        load = self.start_load(10)
        self.wait_completed(load, 300)
        link = "%s>%s" % (self.find_write_home(primary), primary)
        self.fleet.fault(link, "half_open", lost="answer")
        time.sleep(DETECTION_S)
        self.wait_completed(load, 300, timeout=5)
        self.assertEqual(self.fleet.get_primary("ledger_b"), primary)
        self.fleet.fault(link, "restore")
        self.finish_clean(load)


if __name__ == "__main__":
    unittest.main()
