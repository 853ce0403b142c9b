#!/usr/bin/env bash
# Exits with 1 if a truncated stream looked complete to its client, 0 if none did, 2 if not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 run.py
