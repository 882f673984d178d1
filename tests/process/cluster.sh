# Starts fake platform services and daemons as separate processes on loopback, for the demo, the
# process tests and the benchmarks. Source this file and call cluster_init; cluster_stop ends all.

CLUSTER_BUILD=${CLUSTER_BUILD:-$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)/build}
CLUSTER_DAEMON=$CLUSTER_BUILD/packages/daemon/cranberryplankd
CLUSTER_CLI=$CLUSTER_BUILD/packages/cli/cranberryplank
CLUSTER_SUPPORT=$CLUSTER_BUILD/tests/support
CLUSTER_BUNDLE=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)/contrib/demo/bundle.json

declare -A CLUSTER_PIDS=()

# cluster_init WORKERS: creates the work directory, keys and tokens and picks ports.
cluster_init() {
  CLUSTER_WORKERS=$1
  CLUSTER_DIR=$(mktemp -d)
  # Below 32768, the default start of Linux's ephemeral port range for outgoing connections.
  local block=$(($$ % 120))
  while cluster_ports_in_use $((20000 + block * 100)); do block=$(((block + 1) % 120)); done
  CLUSTER_BASE=$((20000 + block * 100))
  CLUSTER_TOKEN=$CLUSTER_DIR/token
  CLUSTER_STORE=127.0.0.1:$CLUSTER_BASE
  CLUSTER_VM_LIST=127.0.0.1:$((CLUSTER_BASE + 1))
  CLUSTER_WORKER_PORT=${CLUSTER_WORKER_PORT:-$((CLUSTER_BASE + 50))}
  printf 'operator-token\n' >"$CLUSTER_TOKEN"
  "$CLUSTER_CLI" bundle keygen "$CLUSTER_DIR/imane" >/dev/null
  trap cluster_stop EXIT
}

# cluster_ports_in_use FIRST: succeeds if a process listens on one of 100 ports.
cluster_ports_in_use() {
  local address state port
  while read -r _ address _ state _; do
    port=$((16#${address##*:}))
    # 0A is the state of a listening socket.
    [ "$state" = 0A ] && ((port >= $1 && port < $1 + 100)) && return 0
  done < <(tail -qn +2 /proc/net/tcp /proc/net/tcp6 2>/dev/null)
  return 1
}

# cluster_spawn NAME COMMAND...: starts a process and records its id.
cluster_spawn() {
  local name=$1
  shift
  rm -f "$CLUSTER_DIR/$name.pid"
  # The subshell that starts the process records its exit status.
  {
    local status=0
    "$@" >>"$CLUSTER_DIR/$name.log" 2>&1 &
    echo $! >"$CLUSTER_DIR/$name.pid"
    wait $! || status=$?
    [ -e "$CLUSTER_DIR/stopping" ] || echo "exit status $status at $(date +%T)" >"$CLUSTER_DIR/$name.end"
  } 2>/dev/null &
  disown $!  # Suppresses the shell's job termination message.
  until [ -s "$CLUSTER_DIR/$name.pid" ]; do sleep 0.01; done
  CLUSTER_PIDS[$name]=$(cat "$CLUSTER_DIR/$name.pid")
}

cluster_start_platform() {
  local vms=()
  local i
  for ((i = 1; i <= CLUSTER_WORKERS; i++)); do vms+=(--vm "worker=vm-$i"); done
  for ((i = 1; i <= 9; i++)); do vms+=(--vm "cranberryplankd=entry-$i"); done
  cluster_spawn store "$CLUSTER_SUPPORT/fake_store" --port "$CLUSTER_BASE"
  cluster_spawn vm_list "$CLUSTER_SUPPORT/fake_vm_list" --port $((CLUSTER_BASE + 1)) "${vms[@]}"
  cluster_spawn workers "$CLUSTER_SUPPORT/fake_worker" --port "$CLUSTER_WORKER_PORT" \
    --count "$CLUSTER_WORKERS" --slots 8 --reboot-ms 1000
  cluster_wait 20 cluster_listening store 1 && cluster_wait 20 cluster_listening vm_list 1 &&
    cluster_wait 20 cluster_listening workers "$CLUSTER_WORKERS" && return
  # Without this check, each request of a load run would wait until its deadline.
  echo "a fake service is not listening:" "$CLUSTER_DIR"/*.log
  cat "$CLUSTER_DIR"/{store,vm_list,workers}.log
  return 1
}

# cluster_listening NAME COUNT: succeeds if the process listens on that many ports.
cluster_listening() { [ "$(grep -c event=listening "$CLUSTER_DIR/$1.log")" = "$2" ]; }

cluster_api() { echo "127.0.0.1:$((CLUSTER_BASE + 10 + $1))"; }

# cluster_start_daemon NUMBER
cluster_start_daemon() {
  local i=$1
  cat >"$CLUSTER_DIR/entry-$i.toml" <<SETTINGS
[daemon]
id = "entry-$i"
zone = "az-$((i % 3 + 1))"
log_level = "${CLUSTER_LOG_LEVEL:-info}"
abort_on_invariant_violation = true
shutdown_grace_ms = 10000

[listen]
api = "$(cluster_api "$i")"
peers = "127.0.0.1:$((CLUSTER_BASE + 30 + i))"

[platform]
store = "$CLUSTER_STORE"
vm_list = "$CLUSTER_VM_LIST"

[operators]
token_sha256 = ["$(printf operator-token | sha256sum | cut -d' ' -f1)"]
approvals_required = 1

[operators.approvers]
imane = "$(cat "$CLUSTER_DIR/imane.pub")"
SETTINGS
  cluster_spawn "entry-$i" "$CLUSTER_DAEMON" --settings "$CLUSTER_DIR/entry-$i.toml"
}

# cluster_wait SECONDS COMMAND...: repeats a command until it succeeds.
cluster_wait() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < end)) || return 1
    sleep 0.1
  done
}

cluster_ready() { curl -sf -m 2 "http://$(cluster_api "$1")/readyz"; }

# cluster_cli ARGUMENTS...: runs the CLI against the daemons in CLUSTER_ASK, by default 1 to 3.
cluster_cli() {
  local daemons=()
  local i
  for i in ${CLUSTER_ASK:-1 2 3}; do daemons+=(--daemon "$(cluster_api "$i")"); done
  "$CLUSTER_CLI" --token-file "$CLUSTER_TOKEN" "${daemons[@]}" "$@"
}

# cluster_configure: signs and submits the bundle, adds the VMs and grants a key to each team.
cluster_configure() {
  cluster_cli bundle sign "$CLUSTER_BUNDLE" --as imane --key-file "$CLUSTER_DIR/imane.key" \
    --output "$CLUSTER_DIR/bundle.json"
  cluster_cli bundle submit "$CLUSTER_DIR/bundle.json" --wait 10 >/dev/null
  local i pool
  for ((i = 1; i <= CLUSTER_WORKERS; i++)); do
    pool=tone-testing
    ((i * 3 > CLUSTER_WORKERS * 2)) && pool=counter
    cluster_cli vm add "vm-$i" --host 127.0.0.1 --port $((CLUSTER_WORKER_PORT + i - 1)) \
      --zone "az-$((i % 3 + 1))" --rack "rack-$(((i + 3) / 4))" --pool "$pool" --slots 8 \
      --cores 64 --memory-gb 128 --accelerators 0 >/dev/null
  done
  local team
  for team in artisans inspectors clerks; do cluster_grant "$team"; done
}

# cluster_grant TEAM: grants a new key and stores it in the file key.TEAM.
cluster_grant() {
  cluster_cli key grant "$1" --wait 10 | sed -n 's/^key: //p' >"$CLUSTER_DIR/key.$1"
}

cluster_key() { cat "$CLUSTER_DIR/key.$1"; }

# cluster_load REQUESTS OPTIONS...: sends requests for three teams and prints the report as JSON.
cluster_load() {
  local requests=$1
  shift
  local options=()
  local i
  for i in ${CLUSTER_LOAD_DAEMONS:-1 2 3}; do options+=(--daemon "$(cluster_api "$i")"); done
  for ((i = 0; i < CLUSTER_WORKERS; i++)); do
    options+=(--worker "127.0.0.1:$((CLUSTER_WORKER_PORT + i))")
  done
  "$CLUSTER_SUPPORT/load_generator" --json --requests "$requests" "${options[@]}" "$@" \
    --target "tone-tests=$(cluster_key artisans)" --target "tone-tests=$(cluster_key inspectors)" \
    --target "counter-requests=$(cluster_key clerks)"
}

# cluster_field FILE NAME: prints a numeric field of a report.
cluster_field() { sed -n "s/.*\"$2\": *\([0-9.]*\).*/\1/p" "$1" | head -1; }

# cluster_fault PORT JSON: injects a fault into the fake that listens on the port.
cluster_fault() { curl -sf -m 5 -X POST "http://127.0.0.1:$1/fault" -d "$2" >/dev/null; }

# cluster_worker_port NUMBER: port of the worker vm-NUMBER.
cluster_worker_port() { echo $((CLUSTER_WORKER_PORT + $1 - 1)); }

# cluster_remove_vm ID: removes a daemon's VM from the platform's list.
cluster_remove_vm() {
  curl -sf -m 5 -X POST "http://$CLUSTER_VM_LIST/vms" -d \
    "{\"service\":\"cranberryplankd\",\"id\":\"$1\",\"action\":\"remove\"}" >/dev/null
}

# cluster_signal NAME SIGNAL: signals a process; if it has ended, prints its log and fails.
cluster_signal() {
  kill "-$2" "${CLUSTER_PIDS[$1]}" && return
  echo "signal $2: the process $1 has ended: $(cat "$CLUSTER_DIR/$1.end" 2>/dev/null)"
  tail -n 40 "$CLUSTER_DIR/$1.log"
  return 1
}

# cluster_end NAME SECONDS: sends SIGTERM; fails unless the daemon completes its shutdown in time.
cluster_end() {
  local pid=${CLUSTER_PIDS[$1]}
  local end=$((SECONDS + $2))
  kill -TERM "$pid"
  while kill -0 "$pid" 2>/dev/null; do
    ((SECONDS < end)) || return 1
    sleep 0.1
  done
  unset "CLUSTER_PIDS[$1]"
  grep -q "event=shutdown state=finished" "$CLUSTER_DIR/$1.log"
}

# cluster_stop: kills the remaining processes and removes the work directory.
cluster_stop() {
  local name
  touch "$CLUSTER_DIR/stopping"
  for name in "${!CLUSTER_PIDS[@]}"; do
    kill -CONT "${CLUSTER_PIDS[$name]}" 2>/dev/null || true
    kill -KILL "${CLUSTER_PIDS[$name]}" 2>/dev/null || true
  done
  [ -n "${CLUSTER_KEEP:-}" ] && echo "logs kept in $CLUSTER_DIR" || cluster_remove_folder
}

# Retried once, because a process that has just ended may still write to the directory.
cluster_remove_folder() { rm -rf "$CLUSTER_DIR" 2>/dev/null || { sleep 1 && rm -rf "$CLUSTER_DIR"; }; }
