#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start. They are Python programs without
# further packages, so that compiling them is all; those of bench/soak are used as they are.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile bench/soak/wire.py bench/soak/proxy.py bench/soak/store.py \
  bench/soak/fleet.py review/standins/*.py review/[1-5]/case.py
