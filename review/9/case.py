"""The check-ins of a primary don't reach the store, so its entry is gone; it still serves."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

DRAIN_S = 7.0  # Bounds.DrainMs
CUT_S = 5.0    # One cut of the primary from the store; they follow each other.
CUTS = 3
PAUSE_S = 0.1  # Between two statements of a requester.


def main():
    case = standins.Case(FOLDER)
    try:
        database = standins.Database(case.store, case.record, "svc")
        primary = database.add("i-1", True)
        database.add("i-2", False)
        database.add("i-3", False)
        cloud = standins.Cloud([database], case.record)
        case.configure([("db", "svc", "primary")], ["svc"])
        case.start(2, cloud)
        if not case.wait_served("db"):
            case.record.write("the gateways serve nothing")
            return 2
        time.sleep(3)
        sessions = [standins.Session(gateway.front, "db") for gateway in case.gateways]
        if case.is_disrupted:
            case.record.write("i-1 is cut off from the store, %d times %.0f s" % (CUTS, CUT_S))
            primary.checks_in = False
        end = standins.now() + CUTS * CUT_S
        number = 0
        while standins.now() < end:
            for index, session in enumerate(sessions):
                number += 1
                id, result, _, _ = session.query("WRITE item%d v" % number)
                case.record.write("gateway %d answers %s: %s" % (index + 1, id, result or "end"))
                if not result:
                    session.close()
                    sessions[index] = standins.Session(case.gateways[index].front, "db")
            time.sleep(PAUSE_S)
        gone_at = primary.removed_at
        late = [] if gone_at is None else [
            one for one in primary.ran if gone_at + DRAIN_S < one[0] < end]
        case.record.write("%d statements reached i-1 later than %.0f s after its entry was removed"
                          % (len(late), DRAIN_S))
        return 1 if late else 0
    finally:
        case.end()


sys.exit(main())
