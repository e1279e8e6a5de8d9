# Runs nodes and the stand-in for their platform as processes on loopback.
# To be sourced. Creates a temporary directory, node_dir; the caller traps EXIT with
# nodes_stop. CATKINSEAM_NODE names the program to run as a node, by default that of
# the build.

# Overridable by the caller: number of nodes, whether each node reaches the store at
# a port of its own (PORT + 500 + NUMBER), and further lines of the settings files.
: "${node_count:=3}" "${node_own_store_port:=}" "${node_settings:=}"

node_bin=${CATKINSEAM_BIN:-$(dirname "${BASH_SOURCE[0]}")/../../build/bin}
node_dir=$(mktemp -d)
declare -A node_pids=()

# nodes_stop: kills all started processes and deletes node_dir.
nodes_stop() {
  for name in "${!node_pids[@]}"; do
    kill -KILL "${node_pids[$name]}" 2>/dev/null || true
  done
  # Until they have exited they hold their ports, which the next run may use.
  [ "${#node_pids[@]}" -eq 0 ] || wait "${node_pids[@]}" 2>/dev/null || true
  rm -rf "$node_dir"
}

# node_port N: prints the port on which node N serves customers.
node_port() { echo $((node_base + 100 + 10 * $1)); }

# platform_start PORT [WORKERS [ARGUMENT...]]: starts the stand-in platform, by
# default with 6 workers.
platform_start() {
  node_base=$1
  "$node_bin/node-platform" --port "$node_base" --workers "${2:-6}" "${@:3}" \
    >"$node_dir/platform.log" 2>&1 &
  node_pids[platform]=$!
}

# platform_control JSON: injects a fault into the stand-in platform.
platform_control() {
  curl -s --max-time 5 -o /dev/null -X POST -d "$1" \
    "http://127.0.0.1:$((node_base + 99))/control"
}

# node_start NUMBER: starts a node with its own settings file and log.
node_start() {
  local number=$1 port store=$node_base
  port=$(node_port "$number")
  [ -n "$node_own_store_port" ] && store=$((node_base + 500 + number))
  cat >"$node_dir/node-$number.toml" <<TOML
[node]
name = "node-$number"
data_centre = "a"
callers = "127.0.0.1:$port"
readiness = "127.0.0.1:$((port + 1))"
metrics = "127.0.0.1:$((port + 2))"
peers = "127.0.0.1:$((port + 3))"
[platform]
store = "127.0.0.1:$store"
$node_settings
TOML
  "${CATKINSEAM_NODE:-$node_bin/catkinseam}" node --settings "$node_dir/node-$number.toml" \
    >>"$node_dir/node-$number.log" 2>&1 &
  node_pids[node-$number]=$!
}

# node_signal NAME SIGNAL: sends SIGNAL to a process started under NAME.
node_signal() { kill "-$2" "${node_pids[$1]}"; }

# node_join NAME: waits for a process to end and returns its exit code.
node_join() {
  local pid=${node_pids[$1]}
  unset "node_pids[$1]"
  wait "$pid"
}

node_is_ready() {
  curl -fs --max-time 2 -o /dev/null \
    "http://127.0.0.1:$(($(node_port "$1") + 1))/api/readyz"
}

# node_call NUMBER METHOD PATH [BODY]: sends a customer request to a node.
node_call() {
  curl -s --max-time 5 -X "$2" -H 'Host: tally.example' \
    -H 'Content-Type: application/json' ${4:+-d "$4"} \
    "http://127.0.0.1:$(node_port "$1")$3"
}

# node_owner: prints the number of the node that reports ownership; nothing if
# there is none.
node_owner() {
  local number
  for ((number = 1; number <= node_count; ++number)); do
    if curl -s --max-time "${node_owner_timeout:-2}" "http://127.0.0.1:$(($(node_port "$number") + 2))/" |
      grep -q '^catkinseam_is_owner 1'; then
      echo "$number"
      return
    fi
  done
}

# node_wait SECONDS WHAT COMMAND...: repeats COMMAND every 0.1 s until it succeeds;
# fails after 10 * SECONDS attempts and prints the ends of the logs.
node_wait() {
  local attempts=$(($1 * 10)) what=$2
  shift 2
  until "$@"; do
    attempts=$((attempts - 1))
    if [ "$attempts" -le 0 ]; then
      echo "timed out waiting for $what" >&2
      tail -n 5 "$node_dir"/*.log >&2
      return 1
    fi
    sleep 0.1
  done
}
