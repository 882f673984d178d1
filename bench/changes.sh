#!/usr/bin/env bash
# Measures the time from the submission of an operator's change until it is in effect on all
# daemons, at the design target's rate and back to back.
set -euo pipefail
export CLUSTER_LOG_LEVEL=warning CLUSTER_WORKER_PORT=${CLUSTER_WORKER_PORT:-12000}
source "$(dirname "${BASH_SOURCE[0]}")/../tests/process/cluster.sh"

DAEMONS=${DAEMONS:-9}
WORKERS=${WORKERS:-200}
CHANGES=${CHANGES:-30}
# 39,000 changes a day.
TARGET_INTERVAL=2.2

# change NUMBER: submits a change and prints the milliseconds until it is in effect.
change() {
  local start
  start=$(date +%s%N)
  cluster_cli team set clerks --share-weight 1 --upper-limit $(($1 % 2 + 15)) --wait 9 >/dev/null
  echo $((($(date +%s%N) - start) / 1000000))
}

# measure NAME INTERVAL: prints one row.
measure() {
  local i
  for ((i = 0; i < CHANGES; i++)); do
    change "$i"
    sleep "$2"
  done | sort -n | awk -v name="$1" -v daemons="$DAEMONS" -v workers="$WORKERS" '{ms[NR] = $1} END {
    printf "%s, daemons %d, workers %d: %d changes, in effect after p50 %d ms, max %d ms\n",
      name, daemons, workers, NR, ms[int((NR + 1) / 2)], ms[NR]}'
}

ulimit -n 16384
cluster_init "$WORKERS"
cluster_start_platform
for ((i = 1; i <= DAEMONS; i++)); do cluster_start_daemon "$i"; done
for ((i = 1; i <= DAEMONS; i++)); do cluster_wait 30 cluster_ready "$i"; done
cluster_configure
measure "target rate" "$TARGET_INTERVAL"
measure "without a pause" 0
