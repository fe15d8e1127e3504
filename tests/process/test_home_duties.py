"""What a home does besides serving requests: deleting old keys, handing over acknowledgements."""

import concurrent.futures
import os
import signal
import time
import unittest

from fleet_case import FleetCase, fleet_module, wait_for

HOUR_MS = 3600 * 1000
KEY_RETENTION_HOURS = 1


class KeyPruningTest(FleetCase):
    fleet_arguments = {
        "pools": ["ledger_a"],
        "proxy_settings": {
            "key_retention_hours": KEY_RETENTION_HOURS,
            "prune_interval_ms": 200,
        },
    }

    def query(self, target, sql):
        with fleet_module.TargetClient(self.fleet.targets[target]["address"]) as client:
            return client.query(sql)

    def add_key(self, target, key, age_ms):
        created_ms = int(time.time() * 1000) - age_ms
        self.query(
            target,
            "INSERT INTO hornbeamhook_request (caller, key, digest, created_ms)"
            " VALUES ('test', '%s', 'd', %d)" % (key, created_ms),
        )

    def test_only_keys_past_their_retention_are_deleted(self):
        # Guards against keys that are kept for ever, and against deleting one that a caller may
        # still repeat, whose request would then run twice.
        pool = self.fleet.pools[0]
        made = self.run_statement("vm1", pool, "CREATE TABLE pruned (id TEXT)")
        self.assertEqual(made["outcome"], "ok", made)

        def insert():
            return self.run_statement(
                "vm2", pool, "INSERT INTO pruned (id) VALUES ($1)", ["a"], idempotency_key="recent"
            )

        first = insert()
        self.assertEqual(first["outcome"], "ok", first)
        primary = self.fleet.get_primary(pool)
        retention_ms = KEY_RETENTION_HOURS * HOUR_MS
        self.add_key(primary, "old", 2 * retention_ms)
        self.add_key(primary, "young", retention_ms // 2)

        def get_keys(target):
            return {row[0] for row in self.query(target, "SELECT key FROM hornbeamhook_request")}

        for target in self.fleet.targets:
            wait_for(
                lambda target=target: get_keys(target) >= {"recent", "young"}
                and "old" not in get_keys(target),
                20,
                "the old key alone to be deleted at " + target,
            )
        again = insert()
        self.assertEqual(again["outcome"], "ok", again)
        rows = self.query(primary, "SELECT count(*) FROM pruned")
        self.assertEqual(rows, [["1"]])


class AcknowledgementHandoverTest(FleetCase):
    # The write is committed at once and acknowledged this much later.
    lag_ms = 3000
    fleet_arguments = {"pools": ["ledger_a"]}

    def count_handovers(self, name):
        path = os.path.join(self.fleet.directory, name + ".log")
        with open(path, errors="replace") as log:
            return log.read().count("acknowledgement_handed_over")

    def find_write_home(self, primary):
        """The first home takes all writes, so it alone has sent a commit."""
        links = self.fleet.get_links()
        place = self.fleet.targets[primary]["place"]
        homes = [
            name
            for name in self.fleet.proxies
            if self.fleet.proxies[name]["place"] == place
            and links["%s>%s" % (name, primary)]["connections_open"] > 1
        ]
        self.assertEqual(len(homes), 1, homes)
        return homes[0]

    def test_home_that_stops_polling_during_a_write(self):
        # Guards against a committed write that ends as unknown because its home was handed over
        # before the group acknowledged it.
        pool = self.fleet.pools[0]
        made = self.run_statement(
            "vm1", pool, "CREATE TABLE handed_over (id TEXT)", deadline_ms=15000
        )
        self.assertEqual(made["outcome"], "ok", made)
        primary = self.fleet.get_primary(pool)
        home = self.find_write_home(primary)
        entry = next(
            name
            for name in self.fleet.proxies
            if name != home
            and self.fleet.proxies[name]["place"] != self.fleet.proxies[home]["place"]
        )
        before = self.fleet.get_target_status(primary)["position"]
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            write = executor.submit(
                self.run_statement,
                entry,
                pool,
                "INSERT INTO handed_over (id) VALUES ($1)",
                ["x"],
                deadline_ms=15000,
            )
            wait_for(
                lambda: self.fleet.get_target_status(primary)["position"] > before,
                10,
                "the commit at the primary",
            )
            process = self.fleet.processes[home]
            process.send(signal.SIGTERM)
            answer = write.result(30)
        self.assertEqual(answer["outcome"], "ok", answer)
        self.assertEqual(process.wait(20), 0)
        self.assertGreater(self.count_handovers(home), 0, "the home kept polling; nothing tested")


if __name__ == "__main__":
    unittest.main()
