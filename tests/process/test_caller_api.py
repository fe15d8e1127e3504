"""The caller API over HTTP: the printed examples, roaming sessions, bad input, transactions."""

import json
import os
import re
import subprocess
import time
import unittest

import fleet_case
from fleet_case import FleetCase, wait_for

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PAGE = os.path.join(ROOT, "docs", "caller-api.md")


class CallerApiTest(FleetCase):
    fleet_arguments = {
        "pools": ["ledger_a", "ledger_b"],
        "proxy_settings": {"transaction_idle_timeout_ms": 1500},
    }

    def test_examples_work_as_printed(self):
        # Guards against documentation that callers cannot follow.
        with open(PAGE) as file:
            examples = re.findall(r"```sh\n(.*?)```", file.read(), re.DOTALL)
        self.assertGreaterEqual(len(examples), 6)
        environment = dict(
            os.environ,
            PROXY=self.fleet.proxies["vm1"]["client_address"],
            CREDENTIAL=fleet_case.fleet_module.CREDENTIAL,
        )
        for example in examples:
            with self.subTest(example=example):
                done = subprocess.run(
                    ["bash", "-euc", example],
                    env=environment,
                    capture_output=True,
                    text=True,
                    timeout=60,
                )
                self.assertEqual(done.returncode, 0, done.stderr)
                outcomes = re.findall(r'"outcome":"(\w+)"', done.stdout)
                self.assertEqual(set(outcomes) - {"ok"}, set(), done.stdout)
                self.assertTrue(outcomes or "/metrics" in example, done.stdout)
                if "/metrics" in example:
                    self.assertIn("alive", done.stdout)
                    self.assertIn("\nready", done.stdout)
                    self.assertIn("hornbeamhook_requests_total", done.stdout)

    def test_session_roams_over_all_proxies(self):
        # Guards against a proxy that does not see what the caller wrote through another one.
        table = "roam_%d" % time.monotonic_ns()
        made = self.run_statement("vm1", "ledger_a", "CREATE TABLE %s (n INTEGER)" % table)
        token = made["token"]
        names = list(self.fleet.proxies)
        for i in range(2 * len(names)):
            written = self.run_statement(
                names[i % len(names)],
                "ledger_a",
                "INSERT INTO %s VALUES ($1)" % table,
                [i],
                token=token,
                idempotency_key="%s-%d" % (table, i),
            )
            self.assertEqual(written["outcome"], "ok", written)
            read = self.run_statement(
                names[(i + 3) % len(names)],
                "ledger_a",
                "SELECT count(*) FROM " + table,
                kind="read",
                token=written["token"],
            )
            self.assertEqual(read["outcome"], "ok", read)
            self.assertEqual(read["results"][0]["rows"], [[str(i + 1)]], read)
            token = read["token"]

    def post_raw(self, path, body, credential=fleet_case.fleet_module.CREDENTIAL):
        return fleet_case.fleet_module.call_http(
            self.fleet.proxies["vm2"]["address"],
            "POST",
            path,
            body,
            headers={"Authorization": "Bearer " + credential},
        )

    def test_bad_input_is_refused_and_runs_nothing(self):
        # Guards against requests that are half understood, and a proxy that falls over them.
        table = "bad_%d" % time.monotonic_ns()
        made = self.run_statement("vm1", "ledger_a", "CREATE TABLE %s (n INTEGER)" % table)
        path = "/v1/pools/ledger_a/statements"
        good = {
            "kind": "write",
            "statements": [{"sql": "INSERT INTO %s VALUES (1)" % table}],
        }
        nested = []
        for _ in range(300):
            nested = [nested]
        forged = made["token"][:-3] + "AAA"
        cases = [
            (path, dict(good, surprise=1), 400, "bad_request"),
            (path, dict(good, token="nonsense"), 400, "bad_token"),
            (path, dict(good, token=forged), 400, "bad_token"),
            (path, dict(good, statements=nested), 400, "bad_request"),
            (path, dict(good, statements=[{"sql": "x" * 2_000_000}]), 413, "too_large"),
            (path, [], 400, "bad_request"),
            ("/v1/pools/none/statements", good, 404, "unknown_pool"),
            ("/v1/pools/ledger_b/statements", dict(good, token=made["token"]), 400, "bad_token"),
            ("/v1/transactions/none/commit", {}, 400, "bad_token"),
        ]
        for where, body, status, code in cases:
            with self.subTest(code=code, body=json.dumps(body)[:60]):
                answer = self.post_raw(where, body)
                self.assertEqual(answer[0], status, answer)
                self.assertEqual(answer[1]["outcome"], "not_run")
                self.assertEqual(answer[1]["error"]["code"], code)
        self.assertEqual(self.post_raw(path, good, "wrong")[0], 401)
        status, _ = fleet_case.fleet_module.call_http(
            self.fleet.proxies["vm2"]["address"], "POST", "/internal/v1/execute", good
        )
        self.assertEqual(status, 403)
        count = self.run_statement(
            "vm3",
            "ledger_a",
            "SELECT count(*) FROM " + table,
            kind="read",
            read_policy={"strict": True},
        )
        self.assertEqual(count["results"][0]["rows"], [["0"]], count)

    def test_idle_transaction_ends_and_frees_its_locks(self):
        # Guards against an abandoned transaction that blocks writers, or is committed later.
        table = "idle_%d" % time.monotonic_ns()
        self.run_statement("vm1", "ledger_a", "CREATE TABLE %s (n INTEGER)" % table)
        opened = self.fleet.call_proxy(
            "vm4", "/v1/pools/ledger_a/transactions", {"kind": "write"}
        )[1]
        self.assertEqual(opened["outcome"], "ok", opened)
        path = "/v1/transactions/%s/" % opened["transaction"]
        body = {"statements": [{"sql": "INSERT INTO %s VALUES (1)" % table}]}
        self.assertEqual(
            self.fleet.call_proxy("vm5", path + "statements", body)[1]["outcome"], "ok"
        )

        def can_write():
            answer = self.run_statement("vm6", "ledger_a", "INSERT INTO %s VALUES (2)" % table)
            return answer["outcome"] == "ok"

        wait_for(can_write, 15, "a write after the idle transaction")
        ended = self.fleet.call_proxy("vm7", path + "commit", {"idempotency_key": table})[1]
        self.assertEqual(ended["error"]["code"], "transaction_gone", ended)
        self.assertEqual(ended["outcome"], "not_run", ended)
        rows = self.run_statement(
            "vm8",
            "ledger_a",
            "SELECT n FROM " + table,
            kind="read",
            read_policy={"strict": True},
        )
        self.assertEqual({row[0] for row in rows["results"][0]["rows"]}, {"2"}, rows)


if __name__ == "__main__":
    unittest.main()
