"""Guards against a crowd on the internal port, as a second VM's callers would cause."""

import socket

import hostile_crowd as crowd


class Relay(crowd.OutsideCase):
    def test_relayed_messages_at_once(self):
        payload = crowd.RELAY_START + crowd.make_write(1000 * crowd.KIB)
        crowd.Crowd(self.internal, 100, payload).run(6)
        self.check_bounds()

    def test_relayed_statements_sent_ahead(self):
        writes = b"".join(crowd.make_write(400 * crowd.KIB, i) for i in range(20))
        crowd.Crowd(self.internal, 100, crowd.RELAY_START + writes, small_buffers=True).run(8)
        self.check_bounds()

    def test_relayed_connections(self):
        crowd.Crowd(self.internal, 500, b"S").run(6)
        self.check_bounds()

    def test_datagrams(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for i in range(2000):
                data = bytes((i + j) % 256 for j in range(64)) * 900
                sender.sendto(data, ("127.0.0.1", self.internal))
        self.check_bounds()
