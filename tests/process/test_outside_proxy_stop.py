"""Guards against HTTP clients whose bodies stop half-way and stay in memory."""

import hostile_crowd as crowd
import proxy_crowd


class StopHalfWay(proxy_crowd.ProxyCase):
    def test_bodies_begun_and_not_completed(self):
        payload = proxy_crowd.HEAD % proxy_crowd.BODY_LIMIT + b"b" * (1000 * crowd.KIB)
        crowd.Crowd(self.port, 300, payload).run(8)
        self.check_bounds()
