#!/usr/bin/env bash
# Runs performance measurements: measure.sh [NAME...]; see meta/measure.py.
set -euo pipefail
source "$(dirname "$0")/common.sh"
[ -x "$BUILD/daisypond-entry" ] || { install_packages; build_all; }
exec python3 "$ROOT/meta/measure.py" "$@"
