"""Guards against crowds that send slowly and hold memory and descriptors."""

import hostile_crowd as crowd


class SlowSend(crowd.OutsideCase):
    def test_slow_bytes(self):
        payload = crowd.START + crowd.make_write(1000 * crowd.KIB)
        crowd.Crowd(self.front, 300, payload, piece=40, interval_s=0.5).run(8)
        self.check_bounds()
