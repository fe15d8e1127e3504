"""What the tests with crowds at hornbeamhook-proxy share: a fleet of one proxy, and its bounds."""

import os
import threading
import unittest

import hostile_crowd as crowd
from fleet_case import SEED, fleet_module

# Of the smallest machines.
MEMORY_MB = 160
MAX_FDS = 4300
BODY_LIMIT = 1 << 20  # The default of max_request_bytes.

HEAD = b"POST /v1/pools/wax_a/statements HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


class ProxyCase(unittest.TestCase):
    """Starts a fleet of one proxy per test."""

    def setUp(self):
        self.fleet = fleet_module.Fleet("carrowmore", seed=SEED, proxy_count=1, pools=["wax_a"],
                                        with_latency=False)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.fleet.wait_ready("vm1")
        self.process = self.fleet.processes["vm1"]
        self.peak_descriptors = 0
        self.stop_sampling = threading.Event()
        self.sampler = threading.Thread(target=self.sample_descriptors, daemon=True)
        self.sampler.start()
        self.addCleanup(self.end_sampling)
        self.port = int(self.fleet.proxies["vm1"]["address"].rsplit(":", 1)[1])

    def sample_descriptors(self):
        while not self.stop_sampling.wait(crowd.SAMPLE_INTERVAL_S):
            try:
                count = len(os.listdir("/proc/%d/fd" % self.process.pid))
            except OSError:
                return
            self.peak_descriptors = max(self.peak_descriptors, count)

    def end_sampling(self):
        self.stop_sampling.set()
        self.sampler.join()

    def get_kib(self, field):
        with open("/proc/%d/status" % self.process.pid) as file:
            return next(int(line.split()[1]) for line in file if line.startswith(field + ":"))

    def check_bounds(self):
        self.assertTrue(self.process.is_running())
        self.fleet.wait_ready("vm1")
        peak, now = self.get_kib("VmHWM"), self.get_kib("VmRSS")
        text = "peak %d KiB, now %d KiB, peak descriptors %d" % (
            peak, now, self.peak_descriptors)
        print(self.id().split(".")[-1] + ": " + text, flush=True)
        self.assertLess(peak, MEMORY_MB * crowd.KIB, text)
        self.assertLess(self.peak_descriptors, MAX_FDS - crowd.FILE_FDS, text)
        answer = self.fleet.call_proxy("vm1", "/v1/pools/wax_a/statements", {
            "kind": "write", "deadline_ms": 4000,
            "statements": [{"sql": "CREATE TABLE after_crowd (id TEXT)", "parameters": []}]})[1]
        self.assertEqual(answer["outcome"], "ok", answer)
