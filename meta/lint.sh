#!/usr/bin/env bash
# Checks the formatting of all C++ sources, then runs clang-tidy on the files
# given as arguments, or on all sources except tests and generated code.
set -euo pipefail
source "$(dirname "$0")/common.sh"
cd "$ROOT"
mapfile -t ALL < <(git ls-files '*.cc' '*.h' | grep -v /generated/)
clang-format --dry-run --Werror "${ALL[@]}"
echo "format: ${#ALL[@]} files clean"
if [ "$#" -gt 0 ]; then
  SOURCES=("$@")
else
  mapfile -t SOURCES < <(git ls-files '*.cc' | grep -v -e /generated/ -e _test.cc -e '^tests/')
fi
printf '%s\n' "${SOURCES[@]}" |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$BUILD" --quiet 2>/dev/null
echo "clang-tidy: ${#SOURCES[@]} files clean"
