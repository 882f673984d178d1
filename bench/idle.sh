#!/usr/bin/env bash
# Measures a daemon's control overhead without requests: CPU time, memory and bytes per second by
# the number of daemons and known workers. docs/CAPACITY.md is derived from these slopes.
set -euo pipefail
export CLUSTER_LOG_LEVEL=warning CLUSTER_WORKER_PORT=${CLUSTER_WORKER_PORT:-12000}
source "$(dirname "${BASH_SOURCE[0]}")/../tests/process/cluster.sh"

SECONDS_MEASURED=${SECONDS_MEASURED:-15}
read -r -a DAEMONS <<<"${DAEMONS:-3 6 9}"
read -r -a WORKERS <<<"${WORKERS:-50 500 2000}"

# spent PID: prints CPU ticks, bytes read and written, and resident kilobytes.
spent() {
  local ticks bytes kilobytes
  ticks=$(sed 's/.*) //' "/proc/$1/stat" | awk '{print $12 + $13}')
  bytes=$(awk '/^rchar|^wchar/ {sum += $2} END {print sum}' "/proc/$1/io")
  kilobytes=$(awk '/^VmRSS/ {print $2}' "/proc/$1/status")
  echo "$ticks $bytes $kilobytes"
}

# metric NAME: prints a metric of the first daemon.
metric() { curl -s "http://$(cluster_api 1)/metrics" | awk -v name="$1" '$1 == name {print $2}'; }

# measure DAEMONS WORKERS: measures the first daemon and prints one row.
measure() {
  sleep 5
  local pid=${CLUSTER_PIDS[entry-1]}
  local before after sent_before sent_after
  before=$(spent "$pid")
  sent_before=$(metric cranberryplank_peer_bytes_sent)
  sleep "$SECONDS_MEASURED"
  after=$(spent "$pid")
  sent_after=$(metric cranberryplank_peer_bytes_sent)
  echo "$1 $2 $before $after $sent_before $sent_after" |
    awk -v s="$SECONDS_MEASURED" -v hz="$(getconf CLK_TCK)" '{
      printf "daemons %d workers %5d: cpu %.2f%% of a core, memory %.1f MB, all bytes %.1f KB/s, sent to peers %.2f KB/s\n",
        $1, $2, ($6 - $3) / hz / s * 100, $8 / 1024, ($7 - $4) / s / 1024, ($10 - $9) / s / 1024}'
}

add_vms() {
  local i
  for ((i = KNOWN + 1; i <= $1; i++)); do
    cluster_cli vm add "vm-$i" --host 127.0.0.1 --port $((CLUSTER_WORKER_PORT + i - 1)) \
      --zone "az-$((i % 3 + 1))" --rack "rack-$(((i + 3) / 4))" --pool tone-testing --slots 8 \
      --cores 64 --memory-gb 128 --accelerators 2 >/dev/null
  done
  KNOWN=$1
}

ulimit -n 16384
cluster_init "${WORKERS[-1]}"
cluster_start_platform
KNOWN=0
started=0
for daemons in "${DAEMONS[@]}"; do
  for ((i = started + 1; i <= daemons; i++)); do
    cluster_start_daemon "$i"
    cluster_wait 30 cluster_ready "$i"
  done
  started=$daemons
  if ((KNOWN == 0)); then
    cluster_cli bundle sign "$CLUSTER_BUNDLE" --as imane --key-file "$CLUSTER_DIR/imane.key" \
      --output "$CLUSTER_DIR/bundle.json"
    cluster_cli bundle submit "$CLUSTER_DIR/bundle.json" --wait 10 >/dev/null
    add_vms "${WORKERS[0]}"
  fi
  measure "$daemons" "$KNOWN"
done
for workers in "${WORKERS[@]:1}"; do
  add_vms "$workers"
  measure "$started" "$workers"
done
