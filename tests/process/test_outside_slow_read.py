"""Guards against crowds that read large answers slowly or never."""

import hostile_crowd as crowd


class SlowRead(crowd.OutsideCase):
    def test_large_answers_not_read(self):
        reads = b"".join(b"QUERY q%d READ large\r\n" % i for i in range(20))
        crowd.Crowd(self.front, 60, crowd.START + reads, small_buffers=True).run(10)
        self.check_bounds()

    def test_large_answers_read_slowly(self):
        reads = b"".join(b"QUERY q%d READ large\r\n" % i for i in range(20))
        crowd.Crowd(self.front, 60, crowd.START + reads, read_bytes=512,
                    small_buffers=True).run(10)
        self.check_bounds()
