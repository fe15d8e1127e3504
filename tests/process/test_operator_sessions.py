"""What the operator tool shows of transactions and connections, and how it ends a transaction."""

import unittest

from fleet_case import wait_for
from test_operator_fleet import OperatorFleetCase


class OperatorSessionsTest(OperatorFleetCase):
    def begin(self, pool):
        answer = self.fleet.call_proxy(
            self.get_proxy(), "/v1/pools/%s/transactions" % pool, {"kind": "write"}
        )[1]
        self.assertEqual(answer["outcome"], "ok", answer)
        return answer["transaction"]

    def get_transactions(self, pool):
        rows = self.run_well("show sessions of %s;" % pool)[0]["rows"]
        self.assertEqual([row for row in rows if row.get("note")], [])
        return [row for row in rows if row["kind"] == "transaction"]

    def test_a_stuck_transaction_is_shown_and_ended(self):
        # Guards against a transaction that blocks writers and that the operator can neither find
        # nor end, and against ending it without a record.
        self.wait_all_listed()
        pool, table = "ledger_a", "stuck"
        self.run_statement(self.get_proxy(), pool, "CREATE TABLE %s (n INTEGER)" % table)
        path = "/v1/transactions/%s/" % self.begin(pool)
        done = self.fleet.call_proxy(
            self.get_proxy(),
            path + "statements",
            {"statements": [{"sql": "INSERT INTO %s VALUES (1)" % table}]},
        )[1]
        self.assertEqual(done["outcome"], "ok", done)
        shown = self.get_transactions(pool)
        self.assertEqual(len(shown), 1, shown)
        self.assertEqual(shown[0]["access"], "write")
        self.assertEqual("ledger_a/" + shown[0]["target"], self.fleet.get_primary(pool))
        self.assertGreaterEqual(shown[0]["age_ms"], shown[0]["idle_ms"])
        used = [
            row
            for row in self.run_well("show connections of %s;" % pool)[0]["rows"]
            if row["vm"] == shown[0]["vm"] and row["target"] == "ledger_a/" + shown[0]["target"]
        ]
        self.assertEqual(len(used), 1, used)
        self.assertGreaterEqual(used[0]["in_use"], 1)
        self.assertGreaterEqual(used[0]["in_flight"], 1)
        self.assertGreaterEqual(used[0]["transaction_limit"], 1)

        ended = self.run_well("end transaction %s;" % shown[0]["id"])[0]
        self.assertEqual(ended["outcome"], "rolled_back", ended)
        gone = self.fleet.call_proxy(self.get_proxy(), path + "commit", {})[1]
        self.assertEqual(gone["error"]["code"], "transaction_gone", gone)
        self.assertEqual(self.get_transactions(pool), [])
        rows = self.run_statement(
            self.get_proxy(),
            pool,
            "SELECT n FROM " + table,
            kind="read",
            read_policy={"strict": True},
        )
        self.assertEqual(rows["results"][0]["rows"], [], rows)
        again = self.run_ctl("end transaction %s;" % shown[0]["id"])
        self.assertEqual(again.returncode, 1, again.stderr)

        def is_recorded():
            kinds = {
                row["kind"]
                for row in self.run_well(
                    "select kind from audit where details.id = '%s' or "
                    "details.transaction.id = '%s';" % (shown[0]["id"], shown[0]["id"])
                )[0]["rows"]
            }
            return kinds == {"transaction_ended", "end_transaction"}

        wait_for(is_recorded, 10, "the records of the operator and of the proxy")

    def test_callers_and_unreachable_proxies_are_shown(self):
        # Guards against a dead proxy that silently is missing from what the operator reads.
        self.wait_all_listed()
        self.run_statement(
            self.get_proxy(), "ledger_b", "SELECT 1", kind="read", read_policy={"strict": True}
        )
        callers = self.run_well("select caller, reads from sessions where kind = caller;")[0]["rows"]
        self.assertGreaterEqual(sum(row["reads"] for row in callers), 1, callers)
        name = sorted(self.fleet.proxies)[-1]
        self.fleet.processes[name].kill()
        try:
            for what in ("sessions", "connections"):
                rows = self.run_well("show %s of ledger_c;" % what)[0]["rows"]
                notes = {row["vm"]: row["note"] for row in rows if row.get("note")}
                self.assertEqual(set(notes), {name}, rows)
                self.assertIn("not reachable", notes[name])
        finally:
            self.fleet.start_proxy(name)
            self.fleet.wait_ready(name)


if __name__ == "__main__":
    unittest.main()
