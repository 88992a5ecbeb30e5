#!/usr/bin/env bash
# TROUBLE=0 runs the case without its disruption.
export TROUBLE="${TROUBLE:-1}"
exec timeout 120 python3 "$(dirname "$0")/case.py"
