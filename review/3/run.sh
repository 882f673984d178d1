#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0: the same without the disruption; case.py leaves it out.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
case "${TROUBLE:-1}" in
  0) TROUBLE=0 exec python3 -B case.py ;;
  *) TROUBLE=1 exec python3 -B case.py ;;
esac
