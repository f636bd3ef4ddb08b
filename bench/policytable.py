#!/usr/bin/env python3
"""Prints tables from the JSON lines of bench-policy: the medians over the
seeds, and the ratio of the last arm to the best plain baseline in each row."""
import collections
import json
import statistics
import sys

BASELINES = ("random", "round-robin", "least-of-two")
ARMS = BASELINES + ("least-of-two+guards", "expected-wait",
                    "expected-wait+hedge", "association", "agency")


def read(path):
    cells = collections.defaultdict(lambda: collections.defaultdict(list))
    for line in open(path):
        run = json.loads(line)
        key = (run["deployment"], run["disturbance"], run["load"])
        cells[key][run["arm"]].append(run)
    return cells


def median(runs, field):
    return statistics.median(run[field] for run in runs) if runs else 0


def table(cells, field):
    higher_is_better = field in ("goodput", "urgent_ok")
    print(f"| deployment | disturbance | load | {' | '.join(ARMS)} | ratio |")
    print("|---" * (len(ARMS) + 4) + "|")
    for key in sorted(cells):
        values = [median(cells[key][arm], field) for arm in ARMS]
        base = values[:len(BASELINES)]
        best = max(base) if higher_is_better else min(base)
        ratio = values[-1] / best if best else 0
        row = " | ".join(f"{value:.4g}" for value in values)
        print(f"| {key[0]} | {key[1]} | {key[2]} | {row} | {ratio:.2f} |")


def main():
    cells = read(sys.argv[1])
    for field in sys.argv[2:] or ["p99_ms", "p999_ms"]:
        print(f"\n{field}\n")
        table(cells, field)


if __name__ == "__main__":
    main()
