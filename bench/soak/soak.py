#!/usr/bin/env python3
"""Randomized fault-injection soak test of real entry processes on this machine.

usage: soak.py [--seeds A-B] [--entries N] [--seconds S] [--kinds NAMES]
               [--interval S] [--program FILE] [--out DIR]

Runs one schedule of injected faults per seed and prints one line of JSON for each.
Exits with 1 when a rule of the judge was violated; the logs of such a seed are kept."""

import argparse
import asyncio
import json
import pathlib
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from fleet import Fleet  # noqa: E402  (the path is set above)

ROOT = pathlib.Path(__file__).resolve().parents[2]


def run_seed(seed, options):
    out = pathlib.Path(options.out) / f"seed-{seed}"
    shutil.rmtree(out, ignore_errors=True)
    out.mkdir(parents=True)
    started = time.monotonic()
    fleet = Fleet(ROOT, out, options, seed)
    try:
        result = asyncio.run(fleet.run())
    finally:
        fleet.end_processes()
    result = {"seed": seed, **result, "tookS": round(time.monotonic() - started, 1)}
    print(json.dumps(result), flush=True)
    if not result["faults"]:
        shutil.rmtree(out)
    return not result["faults"]


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", default="1-1", help="first and last seed, as 1-50")
    parser.add_argument("--entries", type=int, default=18, help="entry processes, in two zones")
    parser.add_argument("--seconds", type=float, default=20,
                        help="time in which faults are injected")
    parser.add_argument("--kinds", type=lambda names: names.split(","),
                        help="kinds of faults to draw from, separated by commas; default: all")
    parser.add_argument("--interval", type=float, default=0.8,
                        help="mean time between faults, in seconds")
    parser.add_argument("--program", default=str(ROOT / "build/src/cumingauged"))
    parser.add_argument("--out", default=str(ROOT / "out/soak"))
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    passed = [run_seed(seed, options) for seed in range(int(first), int(last or first) + 1)]
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
