#!/usr/bin/env bash
# Runs the soak test, which injects random failures into a cluster of real
# processes: soak.sh --seed N --seconds S. See meta/soak.py --help for the other
# flags.
set -euo pipefail
source "$(dirname "$0")/common.sh"
[ -x "$BUILD/daisypond-entry" ] || { install_packages; build_all; }
exec python3 "$ROOT/meta/soak.py" "$@"
