#!/usr/bin/env bash
# Measures the latency that a hop through one daemon adds to direct calls to a worker.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../tests/process/cluster.sh"
cluster_init 6
cluster_start_platform
cluster_start_daemon 1
cluster_wait 30 cluster_ready 1
CLUSTER_ASK=1 cluster_configure
sleep 2
"$CLUSTER_BUILD/bench/bench_entry_hop" --worker "127.0.0.1:$CLUSTER_WORKER_PORT" \
  --daemon "$(cluster_api 1)" --queue tone-tests --key "$(cluster_key artisans)" \
  --daemon-pid "${CLUSTER_PIDS[entry-1]}" --requests "${REQUESTS:-5000}"
