#!/usr/bin/env python3
"""Judges the logs of all instances of one run by the rule on named limits.

  scripts/check-limits.py LOG

LOG holds lines `SECONDS INSTANCE JSON`. From 4 s after an upstream first named
a limit, the instances that have known it for 0.5 s must not send it more in any
4 s than one and a half times what the limit allows, plus 5 requests. Prints a
line for each limited upstream; exit code 1 if one got too many.
"""
import bisect
import collections
import sys

from run_logs import read_events

STABLE_S = 4.0
WINDOW_S = 4.0
KNOWN_S = 0.5
FACTOR = 1.5
SLACK = 5


class Limited:
    """What the logs say about one upstream that named a limit."""

    def __init__(self):
        self.first = None
        self.rates = []  # (time, requests per second)
        self.known_by = {}  # instance: when it first saw the limit
        self.sends = []  # times of the sends that are judged
        self.all_sends = 0

    def name(self, time, instance, rate):
        self.first = time if self.first is None else self.first
        self.rates.append((time, rate))
        self.known_by.setdefault(instance, time)

    def send(self, time, instance):
        self.all_sends += 1
        known = self.known_by.get(instance)
        if known is not None and time >= known + KNOWN_S:
            self.sends.append(time)

    def worst(self):
        """Returns the largest excess, with its count, bound and time."""
        worst = (float("-inf"), 0, 0.0, 0.0)
        for i, end in enumerate(self.sends):
            begin = end - WINDOW_S
            if begin < self.first + STABLE_S:
                continue
            n = i + 1 - bisect.bisect_left(self.sends, begin)
            rate = max((r for t, r in self.rates if begin <= t <= end),
                       default=self.rates_before(begin))
            bound = FACTOR * WINDOW_S * rate + SLACK
            worst = max(worst, (n - bound, n, bound, end))
        return worst

    def rates_before(self, time):
        return [r for t, r in self.rates if t <= time][-1]


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    upstreams = collections.defaultdict(Limited)
    for time, instance, fields in read_events(sys.argv[1]):
        event, upstream = fields.get("event"), fields.get("upstream")
        if event == "limit_named":
            upstreams[upstream].name(time, instance, float(fields["per_second"]))
        elif event == "limited_send":
            upstreams[upstream].send(time, instance)
    broken = 0
    for upstream, limited in sorted(upstreams.items()):
        excess, n, bound, end = limited.worst()
        is_broken = excess > 0
        broken += is_broken
        print(f"{upstream} named {limited.first:.2f} s by "
              f"{len(limited.known_by)} instances, "
              f"{limited.rates[0][1]:.2f}/s, sends {limited.all_sends}, "
              f"most in 4 s {n} of {bound:.1f} at {end:.1f} s"
              f"{'  TOO MANY' if is_broken else ''}")
    print(f"{len(upstreams)} limited upstreams, {broken} got too many")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
