"""Guards against crowds whose HTTP bodies are inside the limit and arrive all at once."""

import hostile_crowd as crowd
import proxy_crowd

SIZE = 1000 * crowd.KIB
PAYLOAD = proxy_crowd.HEAD % SIZE + b"b" * SIZE


class Whole(proxy_crowd.ProxyCase):
    def test_bodies_in_one_piece(self):
        crowd.Crowd(self.port, 300, PAYLOAD).run(8)
        self.check_bounds()

    def test_bodies_in_small_pieces(self):
        crowd.Crowd(self.port, 300, PAYLOAD, piece=4 * crowd.KIB, interval_s=0.005).run(8)
        self.check_bounds()
