"""Guards against crowds on the readiness and control ports."""

import hostile_crowd as crowd

HEAD = b"POST /internal/v1/updates HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


class Http(crowd.OutsideCase):
    def test_bodies_at_once(self):
        payload = HEAD % (3 << 20) + b"b" * (1900 * crowd.KIB)
        for port in (self.ready, self.control):
            crowd.Crowd(port, 60, payload).run(4)
        self.check_bounds()

    def test_silent_connections(self):
        for port in (self.ready, self.control):
            crowd.Crowd(port, 500, b"G").run(4)
        self.check_bounds()

    def test_answers_not_read(self):
        request = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        crowd.Crowd(self.control, 20, request * 5000, small_buffers=True).run(6)
        self.check_bounds()
