#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be loaded. They are Python programs without
# dependencies, so there is nothing to compile; they need Python 3.11, as Debian 12 has it.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin/standin.py [0-9]/case.py <<'PROGRAM'
import sys
import tomllib  # Part of Python since 3.11.

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PROGRAM
