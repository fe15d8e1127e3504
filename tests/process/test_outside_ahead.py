"""Guards against callers that send many messages ahead and read no answer."""

import hostile_crowd as crowd


class Ahead(crowd.OutsideCase):
    def test_writes_sent_ahead(self):
        writes = b"".join(crowd.make_write(400 * crowd.KIB, i) for i in range(20))
        crowd.Crowd(self.front, 100, crowd.START + writes, small_buffers=True).run(8)
        self.check_bounds()

    def test_small_statements_sent_ahead(self):
        statements = b"".join(b"QUERY q%d SET n%d value\r\n" % (i, i) for i in range(100000))
        crowd.Crowd(self.front, 60, crowd.START + statements, small_buffers=True).run(8)
        self.check_bounds()

    def test_session_values(self):
        values = b"".join(
            b"QUERY q%d SET n%d %s\r\n" % (i, i, b"v" * 2000) for i in range(110))
        crowd.Crowd(self.front, 150, crowd.START + values).run(6)
        self.check_bounds()
