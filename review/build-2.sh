#!/usr/bin/env bash
# Builds what the cases 6 to 10 need beside the build of deploy/system.toml:
# nothing, since all stand-ins are Python programs. Checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed (tomllib)"
for it in [
        pathlib.Path(str(n), "play.py") for n in range(6, 11)] + [
        pathlib.Path("rig_2.py")]:
    ast.parse(it.read_text(), str(it))
END
