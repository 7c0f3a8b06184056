# Functions that start, address and stop a deployment of separate processes on loopback. Sourced by Utilities/demo,
# Utilities/prove and Utilities/bench-control, which must set bin (folder with the programs) and run (folder for files).

declare -gA pid_of=()

start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$run/$name.out" 2>>"$run/$name.log" </dev/null &
  pid_of[$name]=$!
}

wait_for_file() { # PATH
  local i
  for ((i = 0; i < 400; i++)); do
    [ -s "$1" ] && return 0
    sleep 0.025
  done
  echo "file $1 was not written in time" >&2
  return 1
}

http() { # METHOD URL [BODY]
  curl -sS --max-time 5 -X "$1" ${3:+-d "$3"} "$2"
}

# Reserves ports, writes the files of the deployment and starts the stand-ins of the platform and of the upstreams.
start_platform() { # MEMBER WORKERS EXECUTORS [EXTRA_SETTINGS_FILE]
  local extra=()
  [ -n "${4:-}" ] && extra=(--extra-settings="$4")
  # port-reserver keeps the ports reserved until its input closes.
  mkfifo "$run/reserver.in"
  "$bin/port-reserver" --count=60 >"$run/ports.json" <"$run/reserver.in" &
  pid_of[port-reserver]=$!
  exec {reserver_input}>"$run/reserver.in"
  wait_for_file "$run/ports.json"
  "$bin/deployment" --member="$1" --ports-file="$run/ports.json" --out="$run" --workers="$2" --executors="$3" \
    "${extra[@]}"
  # shellcheck disable=SC1091
  source "$run/env"
  start_process log "$bin/standin-log" --port="$log_port" ${log_options:-}
  start_process workers "$bin/standin-workers" --config="$run/workers.json" --addresses-file="$run/workers.addresses" \
    --history="$run/workers.history" --control-port="$workers_control" --seed="${seed:-1}"
  start_process executors "$bin/standin-executors" --config="$run/executors.json" \
    --addresses-file="$run/executors.addresses" --history="$run/executors.history" \
    --control-port="$executors_control" --seed="${seed:-1}" ${executor_options:-}
  start_process relay "$bin/net-relay" --config="$run/relay.json" --port="$relay_control"
  wait_for_file "$run/workers.addresses"
  wait_for_file "$run/executors.addresses"
  "$bin/deployment" --merge-lists="$run/workers.addresses,$run/executors.addresses,$run/instances.json"
  start_process list "$bin/standin-list" --instances="$run/instances.json" --port="$list_port" ${list_options:-}
}

start_instance() { # SLOT
  start_process "$1" "$bin/hickoryd" --settings="$run/$1.toml" ${daemon_options:-}
}

gateway_of() { # SLOT -> ip:port
  local pair
  for pair in ${gateways//,/ }; do
    [ "${pair%%=*}" = "$1" ] && echo "${pair#*=}"
  done
}

wait_ready() { # SLOT...
  local slot i
  for slot in "$@"; do
    for ((i = 0; i < 600; i++)); do
      [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 1 "http://$(gateway_of "$slot")/readyz")" = 200 ] && continue 2
      sleep 0.05
    done
    echo "instance $slot did not become ready" >&2
    return 1
  done
}

stop_process() { # NAME SIGNAL
  local pid=${pid_of[$1]:-}
  [ -n "$pid" ] || return 0
  kill -"$2" "$pid" 2>/dev/null || true
}

# Stops all started processes, instances first. Kills processes that do not stop in time.
stop_all() {
  local name
  for name in ${slots:-}; do
    stop_process "$name" CONT
    stop_process "$name" TERM
  done
  wait_stopped ${slots:-}
  for name in "${!pid_of[@]}"; do stop_process "$name" TERM; done
  wait_stopped "${!pid_of[@]}"
  for name in "${!pid_of[@]}"; do stop_process "$name" KILL; done
}

wait_stopped() { # NAME...
  local name i
  for name in "$@"; do
    for ((i = 0; i < 400; i++)); do
      kill -0 "${pid_of[$name]:-0}" 2>/dev/null || continue 2
      [ "${pid_of[$name]:-0}" = 0 ] && continue 2
      sleep 0.05
    done
  done
}

# Appends an event to the fault history.
record_fault() { # KIND TARGET [EXTRA_JSON_FIELDS]
  local gateway=
  gateway=$(client_address_of "$2")
  printf '{"t_us":%s,"fault":"%s","target":"%s","gateway":"%s"%s}\n' "${EPOCHREALTIME/./}" "$1" "$2" "$gateway" \
    "${3:+,$3}" >>"$run/faults.history"
}

# Prints the address at which clients reach an instance, or nothing for other targets.
client_address_of() { # SLOT -> ip:port
  local index=0 slot pair
  for pair in ${clients//,/ }; do
    # Increments outside of $(...), because a subshell would increment its own copy.
    index=$((index + 1))
    slot=$(echo $slots | cut -d' ' -f"$index")
    [ "$slot" = "$1" ] && echo "${pair#*=}" && return 0
  done
  return 0
}

# Waits until every rack has an owner that has read the state of its workers.
wait_for_racks() {
  local i worker_count slot workers_read
  worker_count=$(grep -c '"kind": "worker"' "$run/instances.json")
  for ((i = 0; i < 300; i++)); do
    workers_read=0
    for slot in $slots; do
      workers_read=$((workers_read + $(http GET "http://$(gateway_of "$slot")/v1/workers" | { grep -o '"state_read":true' || true; } | wc -l)))
    done
    [ "$workers_read" -ge "$worker_count" ] && return 0
    sleep 0.1
  done
  echo "the state of only $workers_read of $worker_count workers was read in time" >&2
  return 1
}

# Prints SLOT=pid of all instances, separated by commas.
process_list() {
  local slot list=
  for slot in $slots; do list+="$slot=${pid_of[$slot]},"; done
  echo "${list%,}"
}
