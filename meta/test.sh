#!/usr/bin/env bash
# Installs missing packages, builds everything and runs all tests.
set -euo pipefail
source "$(dirname "$0")/common.sh"
install_packages
build_all
cd "$BUILD"
ctest --output-on-failure
