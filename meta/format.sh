#!/usr/bin/env bash
# Formats all C++ sources in place, except generated code.
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v /generated/ | xargs clang-format -i
