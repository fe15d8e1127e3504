"""Guards against HTTP bodies far over the limit that keep a proxy busy."""

import hostile_crowd as crowd
import proxy_crowd


class Oversize(proxy_crowd.ProxyCase):
    def test_bodies_far_over_the_limit(self):
        payload = (proxy_crowd.HEAD % (64 * proxy_crowd.BODY_LIMIT)
                   + b"b" * (6 * proxy_crowd.BODY_LIMIT))
        crowd.Crowd(self.port, 100, payload).run(8)
        self.check_bounds()
