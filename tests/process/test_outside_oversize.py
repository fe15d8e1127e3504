"""Guards against messages far over the limit that are read into memory."""

import hostile_crowd as crowd


class Oversize(crowd.OutsideCase):
    def test_messages_over_the_limit(self):
        payload = crowd.START + crowd.make_write(6 * 1024 * crowd.KIB)
        crowd.Crowd(self.front, 100, payload).run(6)
        self.check_bounds()
