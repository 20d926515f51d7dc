"""Reads the collected log lines of the instances of one run."""
import json


def read_events(path):
    """Returns (seconds, instance, fields) of each line `SECONDS INSTANCE JSON`,
    in order of time. Prints how many lines the instances dropped."""
    events, dropped = [], {}
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            parts = line.split(maxsplit=2)
            if len(parts) < 3 or not parts[2].startswith("{"):
                continue
            try:
                event = (float(parts[0]), parts[1], json.loads(parts[2]))
            except ValueError:
                continue
            events.append(event)
            if event[2].get("event") == "log_lines_dropped":
                dropped[event[1]] = int(event[2]["total"])
    if dropped:
        print(f"{sum(dropped.values())} log lines were dropped")
    return sorted(events, key=lambda event: event[0])
