#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec timeout -k 3 115 python3 case.py
