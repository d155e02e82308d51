"""What was sent, answered and run, as lines of JSON in record.txt."""

import json
import time


class Record:
    def __init__(self, path):
        self.begun = time.monotonic()
        self.entries = []
        self.file = open(path, "w")

    def write(self, kind, **fields):
        entry = {"s": round(time.monotonic() - self.begun, 3), "kind": kind,
                 **fields}
        self.entries.append(entry)
        self.file.write(json.dumps(entry) + "\n")
        self.file.flush()

    def of(self, *kinds):
        return [entry for entry in self.entries if entry["kind"] in kinds]


def find_twice(entries):
    """Returns the entries that break the rule TWICE: a run that begins while
    another run of its task is at work, or after a run has ended `done` whose
    end is taken note of then or later. An end is taken note of when it is
    acknowledged, unless the lease of its executor lapsed between the two."""
    at_work = {}
    done = {}
    noted = set()
    for entry in entries:
        if (entry["kind"] == "acked" and entry["how"] == "done"
                and not entry["lapsed_between"]):
            noted.add((entry["executor"], entry["life"], entry["n"]))
    breaks = []
    for entry in entries:
        place = (entry.get("executor"), entry.get("life"))
        if entry["kind"] == "begun":
            task = entry["task"]
            others = at_work.setdefault(task, {})
            if others:
                breaks.append(("at the same time", entry, dict(others)))
            if task in done:
                breaks.append(("after its end", entry, done[task]))
            others[place] = entry["run"]
        elif entry["kind"] == "end":
            at_work.get(entry["task"], {}).pop(place, None)
            if entry["how"] == "done" and (*place, entry["n"]) in noted:
                done.setdefault(entry["task"], entry)
        elif entry["kind"] in ("crash", "left"):
            for others in at_work.values():
                others.pop(place, None)
    return breaks
