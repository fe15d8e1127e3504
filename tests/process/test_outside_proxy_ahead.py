"""Guards against HTTP clients that send requests ahead and never read the answers."""

import hostile_crowd as crowd
import proxy_crowd

METRICS = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: Keep-Alive\r\n\r\n"


class Ahead(proxy_crowd.ProxyCase):
    def test_answers_that_nobody_reads(self):
        crowd.Crowd(self.port, 100, METRICS * 2000, piece=len(METRICS), interval_s=0.005,
                    small_buffers=True).run(8)
        self.check_bounds()

    def test_requests_in_one_piece(self):
        crowd.Crowd(self.port, 100, METRICS * 20000).run(8)
        self.check_bounds()
