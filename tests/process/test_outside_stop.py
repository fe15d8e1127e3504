"""Guards against crowds that stop in the middle of a message."""

import hostile_crowd as crowd


class StopHalfWay(crowd.OutsideCase):
    def test_messages_begun_and_not_completed(self):
        payload = crowd.START + crowd.make_write(900 * crowd.KIB)[:-2]
        crowd.Crowd(self.front, 100, payload).run(6)
        self.check_bounds()
