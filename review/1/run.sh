#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
export CASE="$PWD" PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
