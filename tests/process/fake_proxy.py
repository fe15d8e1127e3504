"""A caller API in front of one SQLite database, for tests of the load tool alone.

With `defect` set it breaks one promise, so that a test can see whether the tool notices.
"""

import http.server
import json
import random
import sqlite3
import threading


class FakeProxy:
    def __init__(self, defect=None, seed=1):
        self.defect = defect
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.database = sqlite3.connect(":memory:", check_same_thread=False, isolation_level=None)
        self.results = {}
        self.stale = {}
        self.transactions = {}
        self.next_transaction = 0
        self.answered = 0
        self.has_crossed = False
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])) or "{}")
                answer = json.dumps(outer.handle(self.path, body)).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

            def do_GET(self):
                self.send_response(200)
                self.send_header("Content-Length", "0")
                self.end_headers()

            def log_message(self, *arguments):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        self.thread = threading.Thread(target=self.server.serve_forever, daemon=True)
        self.thread.start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()

    def handle(self, path, body):
        with self.lock:
            if path.startswith("/v1/pools/") and path.endswith("/transactions"):
                return self.begin()
            if path.startswith("/v1/transactions/"):
                _, _, _, number, action = path.split("/")
                return self.run_transaction(int(number), action, body)
            return self.run_statements(body)

    def begin(self):
        self.next_transaction += 1
        self.transactions[self.next_transaction] = []
        return dict(self.ok([]), transaction=str(self.next_transaction))

    def run_transaction(self, number, action, body):
        # Statements are kept and run at the commit; SQLite has one writer.
        kept = self.transactions[number]
        if action == "rollback":
            return self.ok([])
        if action == "commit":
            if self.defect == "mixed_transactions":
                kept = kept[:2]
            self.execute(kept)
            return self.ok([])
        statements = body["statements"]
        last = statements[-1]
        if "count(*)" in last["sql"]:
            return self.ok([[[last["parameters"][0], "2", "2"]]])
        kept.extend(statements[:-1])
        return self.ok([[[last["parameters"][0]]]])

    def run_statements(self, body):
        statements = body["statements"]
        if body["kind"] == "read":
            return self.read(body, statements)
        key = body.get("idempotency_key")
        if key in self.results:
            return self.results[key]
        is_setup = "CREATE" in statements[0]["sql"]
        hit = not is_setup and self.random.random() < 0.05
        if hit and self.defect == "false_not_run":
            self.execute(statements)
            return self.refuse()
        if hit and self.defect == "lost_acknowledged":
            marker = statements[0]["parameters"][0]
            return self.ok([[[marker, "1"]]])
        answer = self.ok(self.execute(statements))
        if hit and self.defect == "doubled":
            self.execute(statements)
        if key:
            self.results[key] = answer
        return answer

    def read(self, body, statements):
        results = self.execute(statements)
        text = statements[0]["sql"]
        is_strict = "strict" in body["read_policy"]
        if "version, marker" in text:
            item = statements[0]["parameters"][1]
            first = self.stale.setdefault(item, results[0][0][1:])
            wants = "reads_older_than_asked" if is_strict else "stale_own_reads"
            if self.defect == wants:
                results[0][0][1:] = first
        self.answered += 1
        if self.defect == "wrong_answers" and self.answered % 20 == 0 and "number" not in text:
            results[-1][0][0] = "someone else's"
        # Only the read of all stock rows after the run selects these columns.
        if self.defect == "wrong_final_answer" and "item, version" in text and not self.has_crossed:
            self.has_crossed = True
            results[-1][0][0] = "someone else's"
        return self.ok(results)

    def execute(self, statements):
        results = []
        self.database.execute("BEGIN")
        for statement in statements:
            parameters = {str(i + 1): value for i, value in enumerate(statement["parameters"])}
            sql = statement["sql"]
            for number in parameters:
                sql = sql.replace("$" + number, ":p" + number)
            rows = self.database.execute(sql, {"p" + k: v for k, v in parameters.items()})
            results.append([[None if cell is None else str(cell) for cell in row] for row in rows])
        self.database.execute("COMMIT")
        return results

    def ok(self, results):
        return {
            "outcome": "ok",
            "results": [{"columns": [], "rows": rows, "affected": 0} for rows in results],
            "token": "t",
            "served_by": {"target": "a", "role": "primary"},
            "configuration_version": 1,
        }

    def refuse(self):
        return {
            "outcome": "not_run",
            "error": {"code": "overloaded", "message": "queue full", "retry": True},
            "results": [],
        }
