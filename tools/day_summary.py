#!/usr/bin/env python3
"""Sums the logs of a played or real day: calls by outcome and time, where late
and lost calls spent their time, and how many groups of each model were open.

Usage: day_summary.py LOGFILE   (lines of all hosts, with any prefix)
"""
import collections
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
TIME = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)")


def read(path):
    for line in open(path, errors="replace"):
        if "event=" not in line:
            continue
        at = TIME.match(line)
        fields = {name: value.strip('"') for name, value in FIELD.findall(line)}
        yield (float(at.group(1)) if at else 0.0, at.group(2) if at else "", fields)


def main():
    calls = collections.Counter()
    slots = collections.defaultdict(collections.Counter)
    reasons = collections.Counter()
    failed = collections.Counter()
    models = {}
    opened = collections.Counter()
    by_second = collections.defaultdict(collections.Counter)
    for at, host, f in read(sys.argv[1]):
        event = f.get("event")
        if event == "call_ended":
            key = (f["route"], f["status"] or "-")
            calls[key] += 1
            if f["status"] != "200":
                reasons[(f["route"], f["status"], f["reason"][:60])] += 1
            elif f.get("first_ms"):
                slots[f["route"]][min(int(f["first_ms"]) // 100, 20)] += 1
        elif event == "attempt_failed":
            failed[(f["outcome"], f["reason"][:60])] += 1
        elif event == "order":
            if f["order"] == "join":
                models[f["group"]] = f["model"]
            if f["result"] in ("accepted", "holds_already"):
                model = models.get(f["group"], "?")
                if f["order"] == "open" and f["result"] == "accepted":
                    opened[model] += 1
                elif f["order"].startswith("close"):
                    opened[model] -= 1
                by_second[int(at)].update()
                by_second[int(at)] = collections.Counter(opened)
    print("calls by route and status")
    for key, count in sorted(calls.items()):
        print(f"  {key[0]:12} {key[1]:4} {count}")
    print("refused or failed by reason")
    for key, count in reasons.most_common(15):
        print(f"  {count:5} {key}")
    print("failed attempts")
    for key, count in failed.most_common(15):
        print(f"  {count:5} {key}")
    print("first byte by route, in steps of 100 ms")
    for route, counts in slots.items():
        print(f"  {route:12}", " ".join(f"{100 * k}:{counts[k]}" for k in sorted(counts)))
    print("groups opened less closed, by second")
    for second in sorted(by_second):
        print(f"  {second:4}", dict(by_second[second]))


if __name__ == "__main__":
    main()
