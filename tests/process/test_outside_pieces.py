"""Guards against callers whose large messages arrive in small pieces and are held unbounded."""

import hostile_crowd as crowd


class Pieces(crowd.OutsideCase):
    def test_messages_in_small_pieces(self):
        payload = crowd.START + crowd.make_write(1000 * crowd.KIB)
        crowd.Crowd(self.front, 120, payload, piece=20 * crowd.KIB).run(8)
        self.check_bounds()
