#!/usr/bin/env bash
# Demo of the whole system on this machine: two agents with stand-in targets and
# workers, an entry and a control member. Preview requests and the tasks of a job
# run at the same time, one agent is shut down gracefully meanwhile, and the
# results are printed.
set -euo pipefail
bin=$1
source "$(dirname "$0")/process_library.sh"

common='"data_centre": "dc1", "peer_listen": "127.0.0.1:0", "http_listen": "127.0.0.1:0"'

agent_settings() {
  cat <<SETTINGS
{"node": "$1", $common, "roles": ["agent"],
 "control": [{"node": "control1", "peer": "$peer_control"}],
 "entries": [{"node": "entry1", "peer": "$peer_entry"}],
 "target": {"service": "wallwright", "address": "$2"},
 "worker": {"address": "$3", "cpu_millicores": 4000, "memory_mib": 4096}}
SETTINGS
}

echo "== Starting stand-ins, control, an entry and two agents"
for i in 1 2; do
  start_standin "target$i" "$bin/standin-target" --service-ms 8
  start_standin "worker$i" "$bin/standin-worker"
done
start_daemon control "{\"node\": \"control1\", $common, \"roles\": [\"control\"],
  \"data_folder\": \"$work/data\",
  \"control\": [{\"node\": \"control1\", \"peer\": \"127.0.0.1:0\"}]}"
start_daemon entry "{\"node\": \"entry1\", $common, \"roles\": [\"entry\"],
  \"control\": [{\"node\": \"control1\", \"peer\": \"$peer_control\"}]}"
start_daemon agent1 "$(agent_settings agent1 "$address_target1" "$address_worker1")"
start_daemon agent2 "$(agent_settings agent2 "$address_target2" "$address_worker2")"
echo "control on $http_control, entry on $http_entry"

echo "== Applying plans and customers"
wait_until "there is a leader" apply_configuration "$http_control"
tool status --address "$http_control"
wait_until "the entry knows the target" knows_target "$http_entry"

echo "== A job of 20 tasks and 300 previews per second for 6 seconds"
job=$(submit_job "$http_control" 20 2000)
tool load wallwright --entry "$http_entry" --customer north-gallery \
  --rate 300 --duration-s 6 >"$work/load" &
load=$!
wait_until "the tasks run" runs_at_least "$address_worker1" 1

echo "== Graceful shutdown of agent1 meanwhile"
kill -TERM "$pid_agent1"
wait_for_exit agent1 0
echo "agent1 exited with code 0"

wait "$load"
echo "== Previews"
cat "$work/load"

echo "== Job"
tool wait --address "$http_control" "$job" --limit-s "$wait_limit" | tail -1
completed=$(($(executions "$address_worker1" completed) + $(executions "$address_worker2" completed)))
echo "the workers completed $completed tasks; 20 were submitted"
[ "$completed" -eq 20 ] || fail "the job did not complete exactly once"

echo "== Graceful shutdown of the other processes"
for name in agent2 entry control; do
  pid_variable="pid_$name"
  kill -TERM "${!pid_variable}"
  wait_for_exit "$name" 0
done
echo "all processes exited with code 0"
