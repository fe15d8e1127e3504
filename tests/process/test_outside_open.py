"""Guards against crowds that open connections and send nothing, or close them at once."""

import hostile_crowd as crowd


class Open(crowd.OutsideCase):
    def test_silent_connections(self):
        crowd.Crowd(self.front, 500, b"S").run(6)
        self.check_bounds()

    def test_idle_sessions(self):
        crowd.Crowd(self.front, 500, crowd.START).run(6)
        self.check_bounds()

    def test_opening_and_closing(self):
        for _ in range(5):
            crowd.Crowd(self.front, 300, crowd.START, is_closing=True).run(2)
        self.check_bounds()
