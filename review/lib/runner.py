"""Runs a case: its exit code, its time limit, and the end of the processes that it started."""
import os
import signal
import sys

LIMIT_S = 115


class TimeIsUp(Exception):
    pass


def run(folder, play):
    """`play(folder)` returns 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = os.environ.get("RECORD_FOLDER") or folder

    def stop(*_):
        raise TimeIsUp()

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    signal.alarm(LIMIT_S)
    why = ""
    try:
        result = play(folder)
    except TimeIsUp:
        result, why = 2, " (time is up)"
    except Exception as error:
        result, why = 2, " (%r)" % error
    with open(os.path.join(folder, "record.txt"), "a") as record:
        record.write("result: %d%s\n" % (result, why))
    print("result: %d%s" % (result, why))
    sys.stdout.flush()
    os._exit(result)
