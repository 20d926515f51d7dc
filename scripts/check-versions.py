#!/usr/bin/env python3
"""Judges the logs of all instances of one run by the rule on software versions.

  scripts/check-versions.py LOG

LOG holds lines `SECONDS INSTANCE JSON`. Counts the texts of items and the
streams of callers that hold events of upstreams of two software versions, and
the streams that callers resume. Exit code 1 if there are more than two.
"""
import collections
import sys

from run_logs import read_events

MAX_MIXED = 2


class Texts:
    """The software versions that wrote each text."""

    def __init__(self):
        self.writer = {}
        self.mixed = set()
        self.resumed = 0

    def add(self, text, software, is_resumed):
        if is_resumed:
            self.resumed += 1
            if text in self.writer and self.writer[text] != software:
                self.mixed.add(text)
        self.writer[text] = software


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    items, streams = Texts(), Texts()
    refused, began = 0, 0
    for _, _, fields in read_events(sys.argv[1]):
        event = fields.get("event")
        if event == "run_ended" and int(fields["events"]) > 0:
            items.add(fields["item"], fields["software"],
                      int(fields["after_event"]) > 0)
        elif event == "item_restarted":
            items.writer.pop(fields["item"], None)
        elif event == "stream_began":
            began += 1
            streams.add(fields["request"], fields["software"], False)
        elif event == "stream_resumed":
            text = fields["resumed_attempt"]
            streams.add(fields["request"] if text == "-" else text,
                        fields["software"], True)
        elif event == "refused" and fields["reason"].startswith("origin"):
            refused += 1
    print(f"items: {items.resumed} runs resumed a text, "
          f"{len(items.mixed)} texts of two versions")
    print(f"streams: {began} began, {streams.resumed} resumed, "
          f"{refused} refused, {len(streams.mixed)} of two versions")
    n = len(items.mixed) + len(streams.mixed)
    sys.exit(1 if n > MAX_MIXED else 0)


if __name__ == "__main__":
    main()
