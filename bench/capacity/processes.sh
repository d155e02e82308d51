#!/usr/bin/env bash
# Measures resident memory, CPU time and bytes on the wire of real processes:
# three control members, an entry, and the number of agents given as the second
# argument. Measured are the idle cluster, task starts and request load.
set -euo pipefail
bin=$1
agents=${2:-60}
seconds=10
source "$(dirname "$0")/../../tests/process/process_library.sh"

common='"data_centre": "dc1"'
control_list=$(for i in 1 2 3; do echo "{\"node\": \"control$i\", \"peer\": \"127.0.0.1:$((17000 + i))\", \"http\": \"127.0.0.1:$((18000 + i))\"}"; done | paste -sd,)

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# Bytes that all TCP connections of a process have sent and received so far.
wire_bytes() {
  ss -tnpiH 2>/dev/null | awk -v pid="pid=$1," '
    index($0, pid) { mine = 1; next_line = 1; next }
    mine { for (i = 1; i <= NF; i++) if ($i ~ /^bytes_(sent|received):/) { split($i, f, ":"); sum += f[2] } mine = 0 }
    END { print sum + 0 }'
}

# measure LABEL: prints what the watched processes use during $seconds seconds.
measure() {
  local label=$1 name pid
  declare -A cpu_before wire_before
  local watched=(control1 control2 control3 entry agent1 agent2)
  for name in "${watched[@]}"; do
    pid_variable="pid_$name"
    pid=${!pid_variable}
    cpu_before[$name]=$(cpu_ticks "$pid")
    wire_before[$name]=$(wire_bytes "$pid")
  done
  sleep "$seconds"
  for name in "${watched[@]}"; do
    pid_variable="pid_$name"
    pid=${!pid_variable}
    awk -v label="$label" -v name="$name" -v seconds="$seconds" \
      -v ticks=$(($(cpu_ticks "$pid") - cpu_before[$name])) \
      -v bytes=$(($(wire_bytes "$pid") - wire_before[$name])) \
      -v rss="$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")" \
      'BEGIN { printf "%-6s %-9s %6.2f %% of a core %8.2f KB/s %7.1f MB resident\n", label, name, ticks / seconds, bytes / seconds / 1000, rss / 1024 }'
  done
}

start_standin target "$bin/standin-target" --service-ms 5
for i in 1 2 3; do
  start_daemon "control$i" "{\"node\": \"control$i\", $common, \"http_listen\": \"127.0.0.1:$((18000 + i))\", \"roles\": [\"control\"],
    \"peer_listen\": \"127.0.0.1:$((17000 + i))\", \"data_folder\": \"$work/data$i\", \"control\": [$control_list]}"
done
start_daemon entry "{\"node\": \"entry1\", $common, \"http_listen\": \"127.0.0.1:0\", \"peer_listen\": \"127.0.0.1:0\", \"roles\": [\"entry\"], \"control\": [$control_list]}"
for i in $(seq "$agents"); do
  start_standin "worker$i" "$bin/standin-worker"
  worker_variable="address_worker$i"
  start_daemon "agent$i" "{\"node\": \"agent$i\", $common, \"http_listen\": \"127.0.0.1:0\", \"peer_listen\": \"127.0.0.1:0\", \"roles\": [\"agent\"],
    \"control\": [$control_list], \"entries\": [{\"node\": \"entry1\", \"peer\": \"$peer_entry\"}],
    \"target\": {\"service\": \"wallwright\", \"address\": \"$address_target\"},
    \"worker\": {\"address\": \"${!worker_variable}\", \"cpu_millicores\": 16000, \"memory_mib\": 60000}}"
done
wait_until "there is a leader" apply_configuration "$http_control1"
sleep 5
echo "$agents agents"
measure idle
# The plan of the test allows 1,000 pending tasks.
tasks=$((agents * 40 < 900 ? agents * 40 : 900))
job=$(submit_job "$http_control1" "$tasks" 2000)
measure starts
tool wait --address "$http_control1" "$job" --limit-s 120 | tail -1
tool load wallwright --entry "$http_entry" --customer north-gallery --rate 1000 --duration-s $((seconds + 2)) >"$work/load" &
sleep 1
measure load
wait $!
cat "$work/load"
