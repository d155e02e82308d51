#!/usr/bin/env bash
# Three control members and a process with entry and agent: a request with an
# idempotency key runs once, the leader is killed while a job runs, and the killed
# member starts again and catches up.
set -euo pipefail
bin=$1
source "$(dirname "$0")/process_library.sh"

members=""
for i in 1 2 3; do
  reserve "peer$i"
  reserve "http$i"
  peer="reserved_peer$i" http="reserved_http$i"
  members+="${members:+, }{\"node\": \"c$i\", \"peer\": \"${!peer}\", \"http\": \"${!http}\"}"
done

release_reserved peer1 http1 peer2 http2 peer3 http3

# start_member NUMBER
start_member() {
  local peer="reserved_peer$1" http="reserved_http$1"
  start_daemon "c$1" "{\"node\": \"c$1\", \"data_centre\": \"dc$1\",
    \"roles\": [\"control\"], \"peer_listen\": \"${!peer}\",
    \"http_listen\": \"${!http}\", \"data_folder\": \"$work/data-c$1\",
    \"control\": [$members]}"
}

# leader ADDRESS: prints the leader that a member knows.
leader() {
  http GET "$1" /v1/status | sed -n 's/.*"leader":"\([^"]*\)".*/\1/p'
}

for i in 1 2 3; do
  start_member "$i"
done
start_standin target "$bin/standin-target" --service-ms 5
start_standin worker "$bin/standin-worker"
start_daemon edge "{\"node\": \"edge\", \"data_centre\": \"dc1\",
  \"roles\": [\"entry\", \"agent\"], \"peer_listen\": \"127.0.0.1:0\",
  \"http_listen\": \"127.0.0.1:0\", \"control\": [$members],
  \"entries\": [{\"node\": \"edge\", \"peer\": \"127.0.0.1:0\"}],
  \"target\": {\"service\": \"wallwright\", \"address\": \"$address_target\"},
  \"worker\": {\"address\": \"$address_worker\", \"cpu_millicores\": 8000,
               \"memory_mib\": 8192}}"
wait_until "the group accepts changes" apply_configuration "$reserved_http1"
wait_until "the entry knows the target" knows_target "$http_edge"

# Guards against a request with an idempotency key that runs again when repeated.
call "$http_edge" wallwright/order "cell 7" "Fulmarrock-Key: k7" >"$work/first"
[ "$(outcome "$work/first")" = answered ] || fail "request with a key: $(cat "$work/first")"
call "$http_edge" wallwright/order "cell 7" "Fulmarrock-Key: k7" >"$work/repeat"
[ "$(outcome "$work/repeat")" = answered ] || fail "its repeat: $(cat "$work/repeat")"
[ "$(executions "$address_target" executions)" = 1 ] || fail "the repeat ran again"

# Guards against tasks that are lost or run twice when the leader is killed.
job=$(submit_job "$reserved_http1" 8 1500)
wait_until "the tasks run" runs_at_least "$address_worker" 8
old_leader=$(leader "$reserved_http1")
[ -n "$old_leader" ] || fail "no leader is known"
number=${old_leader#c}
pid="pid_c$number"
kill -KILL "${!pid}"
wait_for_exit "c$number" 137
survivor="reserved_http$((number % 3 + 1))"
has_new_leader() {
  local found
  found=$(leader "${!survivor}")
  [ -n "$found" ] && [ "$found" != "$old_leader" ]
}
wait_until "another member is leader" has_new_leader
tool wait --address "${!survivor}" "$job" --limit-s "$wait_limit" >/dev/null ||
  fail "job $job did not complete under the new leader"
[ "$(executions "$address_worker" completed)" = 8 ] || fail "not 8 completions"
[ "$(executions "$address_worker" largest_repeat)" = 1 ] || fail "a task ran twice"

# Guards against a member that does not catch up after it was down.
sed -i 's/"weight": 1/"weight": 2/; s/"name": "gold"/"name": "gold", "weight": 2/' "$work/configuration.json"
tool apply --address "${!survivor}" "$work/configuration.json" >/dev/null
start_member "$number"
returned="reserved_http$number"
has_newest_configuration() {
  http GET "${!returned}" /v1/configuration | grep -q '"weight":2'
}
wait_until "the member has the newest configuration" has_newest_configuration

for name in edge c1 c2 c3; do
  pid="pid_$name"
  kill -TERM "${!pid}"
  wait_for_exit "$name" 0
done
echo "passed"
