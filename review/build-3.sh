#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11, 12, 13 and 15, after the build of the deploy file. They are Python
# and use the standard library alone, so there is nothing to compile but their byte code.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for file in standin-3/standin.py 1[1235]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
