"""Guards against callers that send messages of legal size all at once and use up the memory."""

import socket

import hostile_crowd as crowd


class WholeMessages(crowd.OutsideCase):
    def test_whole_messages_at_once(self):
        payload = crowd.START + crowd.make_write(1000 * crowd.KIB)
        crowd.Crowd(self.front, 100, payload).run(6)
        self.check_bounds()

    def test_single_message_is_served_in_calm(self):
        with socket.create_connection(("127.0.0.1", self.front), 5) as connection:
            connection.settimeout(20)
            connection.sendall(crowd.START + crowd.make_write(1024 * crowd.KIB))
            file = connection.makefile("rb")
            self.assertTrue(file.readline().startswith(b"READY I"))
            self.assertTrue(file.readline().startswith(b"COMPLETE"))
        self.check_bounds()
