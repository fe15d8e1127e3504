"""Faults of links under load: no promise may be broken, whatever a link does to bytes."""

import unittest

from fleet_case import FleetCase, wait_for


class LinkFaultsTest(FleetCase):
    def test_whole_path_without_faults(self):
        # Guards against violations and refusals in the plain case.
        load = self.start_load(3)
        report = self.finish_clean(load)
        self.assertGreater(report["replica_read_share"]["not_strict"], 0.95)

    def test_cut_between_two_places(self):
        # Guards against answers invented for requests whose connection was reset.
        self.run_with_fault(["vm1>vm2", "vm1>vm5", "vm1>vm8", "vm1>*/alexandria"], "cut")

    def test_delayed_links(self):
        # Guards against answers that are taken for those of a later request.
        self.run_with_fault(["vm2>*", "vm5>*"], "delay", extra_us=150000)

    def test_silent_connections_between_proxies(self):
        # Guards against the same between entry and home.
        self.run_with_fault(["vm*>vm*"], "silence", duration=10)

    def run_with_message_faults(self, action, links, count, **arguments):
        before = sum(link["faults_applied"] for link in self.fleet.get_links().values())
        load = self.start_load(5)
        self.wait_completed(load, 50)
        self.fleet.fault(links, action, count=count, **arguments)

        def applied():
            after = sum(link["faults_applied"] for link in self.fleet.get_links().values())
            return after - before >= 4

        wait_for(applied, 20, "four exchanges to be hit by " + action)
        self.wait_completed(load, 50)
        self.fleet.fault(links, "restore")
        return self.finish_clean(load)

    def test_requests_lost_before_the_effect(self):
        # Guards against acknowledging a commit that never arrived.
        self.run_with_message_faults(
            "drop_request", ["vm*>ledger_*"], 2, match="COMMIT", then="reset"
        )

    def test_answers_lost_after_the_effect(self):
        # Guards against running a keyed request twice, and against not_run after a commit.
        self.run_with_message_faults(
            "drop_answer", ["vm*>ledger_*"], 2, match="COMMIT", then="reset"
        )
        self.run_with_message_faults(
            "drop_answer", ["vm*>ledger_*"], 2, match="COMMIT", then="silence"
        )

    def test_answers_lost_between_proxies_and_to_callers(self):
        # Guards against repeating an unkeyed write whose answer was lost on the way back.
        self.run_with_message_faults(
            "drop_answer", ["vm*>vm*", "client>*"], 2, match="statements", then="reset"
        )

    def test_late_answers(self):
        # Guards against giving a late answer to the next request on the connection.
        self.run_with_message_faults(
            "hold_answer", ["vm*>ledger_*", "vm*>vm*"], 2, hold_ms=700
        )

    def test_late_requests(self):
        # Guards against the effect of a late duplicate after its key was used elsewhere.
        self.run_with_message_faults(
            "hold_request", ["vm*>ledger_*"], 2, match="COMMIT", hold_ms=1500
        )

    def test_crossed_answers(self):
        # Guards against giving one caller the answer to another's request.
        self.run_with_message_faults("cross_answer", ["vm*>ledger_*", "vm*>vm*"], 4)


if __name__ == "__main__":
    unittest.main()
