# Starts and stops a local cluster on loopback: the stand-in platform, its workers
# and entries.
#
#   source scripts/lib/cluster.sh
#   cluster_start RUN_DIR SEATS WORKERS [PORT_BASE]
#   cluster_cli 1 status
#   cluster_stop
#
# Signals go only to processes started by these functions, by process ID.

repo=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
bin=${CATKINSEAM_BIN:-$repo/build/bin}
export CATKINSEAM_TOKEN=local-token

# Overridable by the caller: extra lines of the entries' settings files, extra
# arguments of the stand-ins, slot sharing policy and lease duration.
: "${CLUSTER_SETTINGS:=}" "${CLUSTER_PLATFORM_ARGS:=}" "${CLUSTER_WORKER_ARGS:=}"
: "${CLUSTER_SLOT_SHARING:=static}" "${CLUSTER_LEASE_MS:=10000}"
declare -A cluster_pids=()

cluster_port() { echo $((cluster_base + $1)); }
caller_port() { cluster_port $((10 * $1)); }
admin_port() { cluster_port $((10 * $1 + 1)); }
peer_port() { cluster_port $((10 * $1 + 2)); }
worker_base_port() { cluster_port 200; }

# cluster_write_settings SEAT: writes $cluster_dir/entry-SEAT.toml.
cluster_write_settings() {
  local seat=$1 peers=""
  for ((i = 1; i <= cluster_seats; ++i)); do
    peers+="\"127.0.0.1:$(peer_port "$i")\", "
  done
  cat >"$cluster_dir/entry-$seat.toml" <<TOML
[entry]
name = "entry-$seat"
data_centre = "dc-$((seat % 4 + 1))"
seat = $seat
callers = "127.0.0.1:$(caller_port "$seat")"
admin = "127.0.0.1:$(admin_port "$seat")"
peer = "127.0.0.1:$(peer_port "$seat")"
peers = [${peers%, }]

[platform]
log = "127.0.0.1:$(cluster_port 0)"
instances = "127.0.0.1:$(cluster_port 0)"

[admin]
token = "$CATKINSEAM_TOKEN"

[request]
slot_sharing = "$CLUSTER_SLOT_SHARING"
drain_wait_ms = 500

[batch]
lease_ms = $CLUSTER_LEASE_MS
renew_ms = $((CLUSTER_LEASE_MS / 5))

[telemetry]
otlp = "127.0.0.1:$(cluster_port 0)"
$CLUSTER_SETTINGS
TOML
}

# cluster_run NAME COMMAND...: starts a background process and stores its ID under
# NAME. Output goes to $cluster_dir/NAME.log.
cluster_run() {
  local name=$1
  shift
  "$@" >>"$cluster_dir/$name.log" 2>&1 &
  cluster_pids[$name]=$!
}

cluster_start_entry() {
  cluster_run "entry-$1" "$bin/catkinseam" serve --settings "$cluster_dir/entry-$1.toml"
}

cluster_start_platform() {
  # shellcheck disable=SC2086
  cluster_run platform "$bin/standin-platform" --listen "127.0.0.1:$(cluster_port 0)" \
    $CLUSTER_PLATFORM_ARGS
}

cluster_start_workers() {
  # shellcheck disable=SC2086
  cluster_run workers "$bin/standin-workers" --count "$cluster_workers" \
    --base-port "$(worker_base_port)" --platform "127.0.0.1:$(cluster_port 0)" \
    --history "$cluster_dir/workers.history" $CLUSTER_WORKER_ARGS
}

# cluster_wait SECONDS WHAT COMMAND...: repeats COMMAND until it succeeds; fails
# after SECONDS.
cluster_wait() {
  local seconds=$1 what=$2
  shift 2
  local end=$((SECONDS + seconds))
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS > end)); then
      echo "timed out after $seconds s waiting for $what" >&2
      return 1
    fi
    sleep 0.05
  done
}

cluster_is_ready() { curl -fs --max-time 2 "http://127.0.0.1:$(admin_port "$1")/readyz"; }

cluster_cli() {
  local seat=$1
  shift
  "$bin/catkinseam" "$@" --entry "127.0.0.1:$(admin_port "$seat")"
}

# cluster_control PORT JSON: configures fault injection in the stand-in on PORT.
cluster_control() {
  curl -fs --max-time 5 -X POST -d "$2" "http://127.0.0.1:$1/control" >/dev/null
}

# cluster_signal NAME SIGNAL: sends SIGNAL to a process started under NAME.
cluster_signal() { kill -s "$2" "${cluster_pids[$1]}"; }

# cluster_join NAME: waits for a process to end and returns its exit code.
cluster_join() {
  local code=0
  wait "${cluster_pids[$1]}" || code=$?
  unset "cluster_pids[$1]"
  return "$code"
}

# cluster_report_json WORKERS: prints a capacity report for `report submit`.
cluster_report_json() {
  local rows=""
  for ((i = 1; i <= $1; ++i)); do
    rows+="\"w$i\":{\"processors_milli\":16000,\"memory_mb\":60000,\"slots\":8,"
    rows+="\"protected_processors_milli\":8000,\"protected_memory_mb\":20000,"
    rows+="\"rack\":\"r$((i / 6))\",\"data_centre\":\"dc-$((i % 4 + 1))\"},"
  done
  echo "{${rows%,}}"
}

# cluster_start DIR SEATS WORKERS [PORT_BASE]: starts the cluster and waits until
# every entry is ready. Deletes the files in DIR first.
cluster_start() {
  cluster_dir=$1 cluster_seats=$2 cluster_workers=$3 cluster_base=${4:-20000}
  mkdir -p "$cluster_dir"
  rm -f "$cluster_dir"/*
  cluster_start_platform
  cluster_wait 10 "the platform" curl -fs "http://127.0.0.1:$(cluster_port 0)/stats"
  cluster_start_workers
  for ((seat = 1; seat <= cluster_seats; ++seat)); do
    cluster_write_settings "$seat"
    cluster_start_entry "$seat"
  done
  for ((seat = 1; seat <= cluster_seats; ++seat)); do
    cluster_wait 20 "entry $seat" cluster_is_ready "$seat"
  done
}

# cluster_configure: submits the capacity report and the request kinds.
cluster_configure() {
  cluster_report_json "$cluster_workers" >"$cluster_dir/report.json"
  cluster_cli 1 report submit "$cluster_dir/report.json" --base 0 --id first-report \
    --author ops >/dev/null
  cat >"$cluster_dir/kinds.json" <<'JSON'
{"kinds/shift-count/idempotent": true, "kinds/shift-count/estimate_ms": 50,
 "kinds/reconciliation/idempotent": true, "kinds/reconciliation/long": true,
 "kinds/reconciliation/estimate_ms": 1500, "kinds/reconciliation/deadline_ms": 10000,
 "kinds/clock-correction/idempotent": false, "kinds/clock-correction/estimate_ms": 50}
JSON
  cluster_cli 1 config submit "$cluster_dir/kinds.json" --base 1 --id first-kinds \
    --author ops >/dev/null
  cluster_cli 1 config wait 2 >/dev/null
}

# cluster_stop: terminates all processes that are still running and waits for them.
cluster_stop() {
  local name
  for name in "${!cluster_pids[@]}"; do
    # Errors are ignored: kill fails for a process that has already exited, and
    # the remaining ones must still be stopped. SIGCONT resumes a paused process so
    # that it handles SIGTERM.
    kill -s CONT "${cluster_pids[$name]}" 2>/dev/null || true
    kill -s TERM "${cluster_pids[$name]}" 2>/dev/null || true
  done
  for name in "${!cluster_pids[@]}"; do
    wait "${cluster_pids[$name]}" 2>/dev/null || true
  done
  cluster_pids=()
}
