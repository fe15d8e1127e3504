"""Guards against HTTP clients that open connections and send nothing."""

import hostile_crowd as crowd
import proxy_crowd


class Open(proxy_crowd.ProxyCase):
    def test_silent_connections(self):
        crowd.Crowd(self.port, 500, b"P").run(4)
        self.check_bounds()
