"""Proxies that die, pause, drain and restart, and configuration changes, under load."""

import signal
import time
import unittest

from fleet_case import FleetCase, wait_for

CONFIGURATION_BOUND_S = 3.0


class ProxyLifecycleTest(FleetCase):
    deployment = "carrowmore"

    def restart_proxy(self, name):
        self.fleet.start_proxy(name)
        self.fleet.wait_ready(name)

    def begin(self, entry, pool):
        answer = self.fleet.call_proxy(
            entry, "/v1/pools/%s/transactions" % pool, {"kind": "write", "deadline_ms": 4000}
        )[1]
        self.assertEqual(answer["outcome"], "ok", answer)
        return answer["transaction"]

    def in_transaction(self, entry, transaction, sql, parameters=()):
        return self.fleet.call_proxy(
            entry,
            "/v1/transactions/%s/statements" % transaction,
            {
                "statements": [{"sql": sql, "parameters": list(parameters)}],
                "deadline_ms": 4000,
            },
        )[1]

    def test_proxy_killed_in_a_transaction(self):
        # Guards against a transaction of a dead home that is half done or blocks others for long.
        pool, entry = self.fleet.pools[0], "vm2"
        table = "killed_%d" % time.monotonic_ns()
        made = self.run_statement(entry, pool, "CREATE TABLE %s (id TEXT)" % table)
        self.assertEqual(made["outcome"], "ok", made)
        primary = self.fleet.get_primary(pool)
        transaction = self.begin(entry, pool)
        done = self.in_transaction(
            entry, transaction, "INSERT INTO %s (id) VALUES ($1)" % table, ["half"]
        )
        self.assertEqual(done["outcome"], "ok", done)
        links = self.fleet.get_links()
        homes = [
            name
            for name in self.fleet.proxies
            if links["%s>%s" % (name, primary)]["connections_open"] > 0
            and self.fleet.proxies[name]["place"] == self.fleet.targets[primary]["place"]
        ]
        self.assertTrue(homes)
        for name in homes:
            self.fleet.processes[name].kill()
        try:
            survivors = [name for name in self.fleet.proxies if name not in homes]

            def can_write():
                answer = self.run_statement(
                    survivors[0], pool, "INSERT INTO %s (id) VALUES ($1)" % table, ["after"]
                )
                return answer["outcome"] == "ok"

            wait_for(can_write, 15, "writes after the home died")
            gone = self.fleet.call_proxy(
                survivors[0],
                "/v1/transactions/%s/commit" % transaction,
                {"deadline_ms": 3000, "idempotency_key": "commit-" + table},
            )[1]
            self.assertNotEqual(gone["outcome"], "ok", gone)
            rows = self.run_statement(
                survivors[0],
                pool,
                "SELECT count(*) FROM %s WHERE id = $1" % table,
                ["half"],
                kind="read",
                read_policy={"strict": True},
            )
            self.assertEqual(rows["results"][0]["rows"], [["0"]], rows)
        finally:
            for name in homes:
                self.restart_proxy(name)

    def test_killed_proxy_under_load(self):
        # Guards against writes that are lost or doubled when their entry or home dies.
        load = self.start_load(9)
        for name in ("vm1", "vm5"):
            self.wait_completed(load, 150)
            self.fleet.processes[name].kill()
            self.wait_completed(load, 150)
            self.restart_proxy(name)
        self.finish_clean(load)

    def test_sigterm_under_load_interrupts_nothing(self):
        # Guards against requests that a graceful shutdown cuts.
        load = self.start_load(8)
        self.wait_completed(load, 150)
        process = self.fleet.processes["vm3"]
        process.send(signal.SIGTERM)
        self.assertEqual(process.wait(20), 0)
        self.wait_completed(load, 100)
        report = self.finish_clean(load)
        self.restart_proxy("vm3")
        self.assertEqual(report["unknowns"], {}, load.read_output())

    def test_paused_proxy(self):
        # Guards against a proxy that acts on old knowledge after a pause.
        load = self.start_load(12)
        self.wait_completed(load, 150)
        process = self.fleet.processes["vm4"]
        process.send(signal.SIGSTOP)
        pool = self.fleet.pools[0]
        primary = self.fleet.get_primary(pool)
        try:
            # The group moves on while the proxy is paused.
            load.lose_primary(pool, primary, "killed", self.fleet.processes[primary].kill)
            wait_for(
                lambda: self.fleet.get_primary(pool) not in (None, primary), 15, "another primary"
            )
            self.wait_completed(load, 150)
        finally:
            process.send(signal.SIGCONT)
            self.fleet.start_target(primary)
        self.wait_completed(load, 150)
        self.finish_clean(load)
        self.wait_settled()

    def set_leaving(self, name, is_leaving):
        value = self.fleet.make_target_value(name, is_leaving=is_leaving)
        return self.fleet.change_configuration([{"kind": "target", "name": name, "value": value}])

    def check_leaving(self, name):
        target = self.fleet.targets[name]
        load = self.start_load(9)
        self.wait_completed(load, 150)
        before = time.monotonic_ns()
        version = self.set_leaving(name, True)
        try:
            load.report_event(
                "target_leaving",
                pool=target["pool"],
                target=target["name"],
                at_ns=before,
                effective_ns=time.monotonic_ns(),
            )
            load.report_event("configuration_accepted", version=version)
            report = self.finish_clean(load)
        finally:
            self.set_leaving(name, False)
        return report

    def test_leaving_replica_gets_no_new_work(self):
        # Guards against requests that reach a replica more than 2 s after it is leaving.
        pool = self.fleet.pools[1]
        primary = self.fleet.get_primary(pool)
        replica = next(
            name
            for name, target in self.fleet.targets.items()
            if target["pool"] == pool and name != primary
        )
        self.check_leaving(replica)

    def test_leaving_primary_is_replaced(self):
        # Guards against a leaving primary that keeps its role.
        self.wait_settled()
        pool = self.fleet.pools[2]
        primary = self.fleet.get_primary(pool)
        self.check_leaving(primary)
        wait_for(lambda: self.fleet.get_primary(pool) not in (None, primary), 5, "a new primary")

    def get_versions(self):
        """Configuration version each proxy uses for a request."""
        versions = {}
        for name in self.fleet.proxies:
            answer = self.run_statement(
                name,
                self.fleet.pools[0],
                "SELECT 1",
                kind="read",
                read_policy={"max_age_ms": 60000},
            )
            self.assertEqual(answer["outcome"], "ok", answer)
            versions[name] = answer["configuration_version"]
        return versions

    def change_something(self):
        value = {"default_deadline_ms": 4000 + self.fleet.version}
        return self.fleet.change_configuration(
            [{"kind": "pool", "name": self.fleet.pools[0], "value": value}]
        )

    def test_change_is_in_force_everywhere_and_survives_restarts(self):
        # Guards against late, lost and reverted configuration.
        load = self.start_load(7)
        for _ in range(3):
            version = self.change_something()
            load.report_event("configuration_accepted", version=version)
            wait_for(
                lambda version=version: min(self.get_versions().values()) >= version,
                CONFIGURATION_BOUND_S,
                "version %d on every proxy" % version,
            )
        self.finish_clean(load)
        for name in self.fleet.proxies:
            self.fleet.processes[name].kill()
        for name in self.fleet.proxies:
            self.fleet.start_proxy(name)
        for name in self.fleet.proxies:
            self.fleet.wait_ready(name)
        self.assertGreaterEqual(min(self.get_versions().values()), version)

    def test_restarted_proxy_learns_the_configuration_without_the_store(self):
        # Guards against a proxy that reverts or stays unready because the store is down.
        version = self.change_something()
        wait_for(
            lambda: min(self.get_versions().values()) >= version,
            CONFIGURATION_BOUND_S,
            "version %d on every proxy" % version,
        )
        self.fleet.platform_fault(outage="refuse")
        try:
            self.fleet.processes["vm6"].kill()
            self.restart_proxy("vm6")
            self.assertGreaterEqual(self.get_versions()["vm6"], version)
        finally:
            self.fleet.platform_fault(outage="none")


if __name__ == "__main__":
    unittest.main()
