#!/usr/bin/env bash
# Control, an entry and two agents as separate processes: requests and a job over
# real connections, an agent that shuts down, and control that restarts.
set -euo pipefail
bin=$1
source "$(dirname "$0")/process_library.sh"

common='"data_centre": "dc1", "peer_listen": "127.0.0.1:0", "http_listen": "127.0.0.1:0"'

# control_settings LISTEN
control_settings() {
  cat <<SETTINGS
{"node": "control1", "data_centre": "dc1", "roles": ["control"],
 "peer_listen": "$1", "http_listen": "127.0.0.1:0",
 "data_folder": "$work/data", "control": [{"node": "control1", "peer": "$1"}]}
SETTINGS
}

# agent_settings NODE TARGET WORKER
agent_settings() {
  cat <<SETTINGS
{"node": "$1", $common, "roles": ["agent"],
 "control": [{"node": "control1", "peer": "$peer_control"}],
 "entries": [{"node": "entry1", "peer": "$peer_entry"}],
 "target": {"service": "wallwright", "address": "$2"},
 "worker": {"address": "$3", "cpu_millicores": 4000, "memory_mib": 4096}}
SETTINGS
}

start_standin target1 "$bin/standin-target" --service-ms 5
start_standin target2 "$bin/standin-target" --service-ms 5
start_standin worker1 "$bin/standin-worker"
start_standin worker2 "$bin/standin-worker"
start_daemon control "$(control_settings 127.0.0.1:0)"
start_daemon entry "{\"node\": \"entry1\", $common, \"roles\": [\"entry\"],
  \"control\": [{\"node\": \"control1\", \"peer\": \"$peer_control\"}]}"
start_daemon agent1 "$(agent_settings agent1 "$address_target1" "$address_worker1")"
start_daemon agent2 "$(agent_settings agent2 "$address_target2" "$address_worker2")"
wait_until "there is a leader" apply_configuration "$http_control"

# Guards against an entry that uses only one of its targets.
both_used() {
  tool load wallwright --entry "$http_entry" --customer north-gallery \
    --rate 100 --duration-s 1
  [ "$(executions "$address_target1" executions)" -gt 0 ] &&
    [ "$(executions "$address_target2" executions)" -gt 0 ]
}
wait_until "both targets are used" both_used

# Guards against tasks that run twice over real connections.
job=$(submit_job "$http_control" 12 100)
tool wait --address "$http_control" "$job" --limit-s "$wait_limit" >/dev/null ||
  fail "job $job did not complete"
completed=$(($(executions "$address_worker1" completed) + $(executions "$address_worker2" completed)))
[ "$completed" = 12 ] || fail "$completed completions instead of 12"

# Guards against requests that are lost when an agent shuts down gracefully.
tool load wallwright --entry "$http_entry" --customer north-gallery \
  --rate 100 --duration-s 3 >"$work/load" &
load=$!
before=$(executions "$address_target1" executions)
wait_until "the load runs" bash -c "$(declare -f http executions)
  [ \$(executions $address_target1 executions) -gt $((before + 10)) ]"
kill -TERM "$pid_agent1"
wait_for_exit agent1 0
wait "$load"
grep -Eq '^[0-9]+ requests, [0-9]+ answered$' "$work/load" ||
  fail "requests were lost while an agent shut down: $(head -1 "$work/load")"

# Guards against a task that is lost or repeated when control restarts.
job=$(submit_job "$http_control" 4 3000)
wait_until "the tasks run" runs_at_least "$address_worker2" 4
kill -KILL "$pid_control"
wait_for_exit control 137
start_daemon control "$(control_settings "$peer_control")"
wait_until "control is leader again" tool status --address "$http_control"
tool wait --address "$http_control" "$job" --limit-s "$wait_limit" >/dev/null ||
  fail "job $job did not complete after the restart of control"
[ "$(executions "$address_worker2" largest_repeat)" = 1 ] || fail "a task ran twice"

for name in agent2 entry control; do
  pid_variable="pid_$name"
  kill -TERM "${!pid_variable}"
  wait_for_exit "$name" 0
done
echo "passed"
