# Functions shared by the process tests and the demo. Source this file after
# setting `bin` to the folder of the programs. All programs listen on ports of
# the loopback interface that the system chooses; only processes started here
# are ever signalled.

work=$(mktemp -d)
pids=()

# Timeout of every wait in seconds; only a failing test reaches it.
wait_limit=${wait_limit:-60}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT
# Prints the command that ended the script under "set -e", also in functions.
set -E
trap 'echo "$0: line $LINENO: $BASH_COMMAND failed" >&2' ERR

fail() {
  echo "FAILED: $*" >&2
  tail -n 20 "$work"/*.log >&2 || true
  exit 1
}

# Runs a command until it succeeds. Fails the test after the timeout.
wait_until() {
  local what=$1 end=$((SECONDS + wait_limit))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "waited $wait_limit s until $what"
    sleep 0.05
  done
}

# start NAME PROGRAM ARGUMENTS...: starts a program; its output goes to NAME.log
# and its process id to the variable pid_NAME.
start() {
  local name=$1
  shift
  # Emptied here, not by the redirection of the background program, which may
  # happen after the caller first reads the log: after a restart it would then
  # find the lines of the previous process.
  : >"$work/$name.log"
  "$@" >>"$work/$name.log" 2>&1 &
  pids+=($!)
  declare -g "pid_$name=$!"
}

# start_standin NAME PROGRAM ARGUMENTS...: also waits until the stand-in serves
# and sets address_NAME.
start_standin() {
  local name=$1
  start "$@"
  wait_until "$name serves" grep -q '^listening on ' "$work/$name.log"
  declare -g "address_$name=$(sed -n 's/^listening on //p' "$work/$name.log")"
}

# start_daemon NAME SETTINGS: starts a daemon with the settings (JSON text),
# waits until it serves, and sets peer_NAME and http_NAME.
start_daemon() {
  local name=$1 line
  echo "$2" >"$work/$name.json"
  start "$name" "$bin/fulmarrockd" --settings "$work/$name.json"
  wait_until "$name serves" grep -q ' and HTTP on ' "$work/$name.log"
  line=$(grep ' and HTTP on ' "$work/$name.log")
  declare -g "http_$name=${line##* and HTTP on }"
  line=${line%% and HTTP on *}
  declare -g "peer_$name=${line##* accepts messages on }"
}

# wait_for_exit NAME CODE: waits for the end of a program and checks its code.
wait_for_exit() {
  local pid_variable="pid_$1" code=0 end=$((SECONDS + wait_limit))
  local pid=${!pid_variable}
  while kill -0 "$pid" 2>/dev/null; do
    [ "$SECONDS" -lt "$end" ] || fail "waited $wait_limit s for the end of $1"
    sleep 0.05
  done
  wait "$pid" || code=$?
  [ "$code" -eq "$2" ] || fail "$1 exited with code $code instead of $2"
}

# reserve NAME: sets reserved_NAME to an address whose port the system chose, for
# programs whose addresses have to be known before they start. The port is held
# until release_reserved, so that the system does not choose it again.
reserve() {
  start_standin "reserve_$1" "$bin/standin-target"
  local address="address_reserve_$1"
  declare -g "reserved_$1=${!address}"
}

# release_reserved NAMES...
release_reserved() {
  local name pid
  for name in "$@"; do
    pid="pid_reserve_$name"
    kill -TERM "${!pid}"
    wait_for_exit "reserve_$name" 0
  done
}

# http METHOD ADDRESS PATH [BODY] [HEADER...]: sends one request and prints the
# whole response with its headers.
http() {
  local method=$1 address=$2 path=$3 body=${4:-} header
  shift $(($# < 4 ? $# : 4))
  exec 3<>"/dev/tcp/${address%:*}/${address##*:}"
  {
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n' \
      "$method" "$path" "$address"
    for header in "$@"; do
      printf '%s\r\n' "$header"
    done
    printf 'Content-Length: %d\r\n\r\n%s' "${#body}" "$body"
  } >&3
  cat <&3
  exec 3>&-
}

# call ADDRESS PATH BODY [HEADER...]: sends a caller's request.
call() {
  local address=$1 path=$2 body=$3
  shift 3
  http POST "$address" "/v1/requests/$path" "$body" \
    "Fulmarrock-Customer: north-gallery" "$@"
}

# outcome FILE: prints the outcome in a response that was saved to a file.
outcome() {
  tr -d '\r' <"$1" | sed -n 's/^Fulmarrock-Outcome: //p'
}

# executions ADDRESS FIELD: prints a number from a stand-in's GET /executions.
executions() {
  http GET "$1" /executions | sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"
}

# tool COMMAND ARGUMENTS...: runs a command of the operators' tool.
tool() {
  "$bin/fulmarrock" "$@"
}

configuration='{"plans": [{"name": "gold", "max_concurrent_requests": 1000,
  "max_pending_tasks": 1000,
  "quota": {"cpu_millicores": 64000, "memory_mib": 65536}}],
  "customers": [{"name": "north-gallery", "plan": "gold"}]}'

# apply_configuration ADDRESS: applies the plans and customers of the tests.
apply_configuration() {
  echo "$configuration" >"$work/configuration.json"
  tool apply --address "$1" "$work/configuration.json"
}

# submit_job ADDRESS COUNT DURATION_MS: prints the number of the job.
submit_job() {
  cat >"$work/job.json" <<JOB
{"name": "hang-plan", "customer": "north-gallery", "task_count": $2,
 "can_checkpoint": true,
 "resources": {"cpu_millicores": 500, "memory_mib": 64},
 "payload": "{\"duration_ms\": $3}"}
JOB
  tool submit --address "$1" "$work/job.json" | sed -n 's/^job //p'
}

# embedded_settings NAME TARGET WORKER: prints the settings of a process with all
# roles.
embedded_settings() {
  cat <<SETTINGS
{"node": "$1", "data_centre": "dc1",
 "roles": ["entry", "agent", "control"],
 "peer_listen": "127.0.0.1:0", "http_listen": "127.0.0.1:0",
 "data_folder": "$work/data-$1",
 "control": [{"node": "$1", "peer": "127.0.0.1:0"}],
 "entries": [{"node": "$1", "peer": "127.0.0.1:0"}],
 "target": {"service": "wallwright", "address": "$2"},
 "worker": {"address": "$3", "cpu_millicores": 4000, "memory_mib": 4096}}
SETTINGS
}

# knows_target ADDRESS: whether the entry at ADDRESS knows a target.
knows_target() {
  http GET "$1" /dump | grep -q '"service":"wallwright"'
}

# runs_at_least ADDRESS COUNT: whether a stand-in runs at least that many requests
# or tasks.
runs_at_least() {
  [ "$(executions "$1" running)" -ge "$2" ]
}
