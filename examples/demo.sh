#!/usr/bin/env bash
# Starts a deployment on loopback addresses, uses it as callers and job owners do, and stops it.
# Usage: examples/demo.sh [--deployment small|gh-south|yeongnam] [--build FOLDER]
# Exit code 0 only when every request was answered with its own answer, the job finished, nothing
# ran twice and every process ended with 0.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2

deployment=small
build=build
while (($#)); do
  case $1 in
    --deployment) deployment=${2:?--deployment needs a name}; shift 2 ;;
    --build) build=${2:?--build needs a folder}; shift 2 ;;
    *) sed -n '2,5s/^# //p' "$0"; exit 2 ;;
  esac
done
settings=examples/$deployment/deployment.env
if [[ ! -r $settings ]]; then
  echo "no deployment \"$deployment\"; choose one of: $(cd examples && echo */ | tr -d /)" >&2
  exit 2
fi
# shellcheck source=/dev/null
source "$settings"
read -ra domains <<<"$FAILURE_DOMAINS"
ctl=$build/ctl/cuminmoorctl
for program in "$ctl" "$build/daemon/cuminmoord" "$build"/tests/standins/standin_{platform,worker,runner}; do
  if [[ ! -x $program ]]; then
    echo "$program is missing; build first: cmake -S . -B $build -G Ninja && cmake --build $build" >&2
    exit 2
  fi
done

# A loopback address of this run's own, so that several runs do not collide.
host=127.$((1 + $$ / 254 % 254)).$((1 + $$ % 254)).2
logs=$(mktemp -d)
pids=()
names=()
faults=0

fault() { echo "FAULT: $*" >&2; faults=$((faults + 1)); }

start() { # name program arguments...
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

wait_for_line() { # file text
  for _ in $(seq 200); do
    grep -q "$2" "$logs/$1.log" 2>/dev/null && return
    sleep 0.05
  done
  fault "$1 did not say \"$2\""
}

# Ends every process that this script started, last started first, and checks its exit code.
stop_all() {
  local i code
  for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
    kill -TERM "${pids[i]}" 2>/dev/null
    wait "${pids[i]}"
    code=$?
    ((code == 0)) || fault "${names[i]} ended with $code"
  done
  pids=()
}
kill_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null
  done
}
trap kill_all EXIT

# Share number $2 when $1 things are spread over the failure domains.
share() { echo $(($1 / ${#domains[@]} + ($2 < $1 % ${#domains[@]} ? 1 : 0))); }

start_deployment() {
  local i entry_list=() addresses=()
  for ((i = 0; i < ENTRY_VMS; ++i)); do
    entry_list+=("--entry=entry-$((i + 1)),${domains[i % ${#domains[@]}]},$host:$((7100 + i)),$host:$((7200 + i))")
    addresses+=("$host:$((7100 + i))")
  done
  start platform "$build/tests/standins/standin_platform" --http "$host:7000" "${entry_list[@]}"
  wait_for_line platform event=ready
  for ((i = 0; i < ${#domains[@]}; ++i)); do
    start_machines "${domains[i]}" "$i"
  done
  for ((i = 0; i < ENTRY_VMS; ++i)); do
    start "entry-$((i + 1))" "$build/daemon/cuminmoord" --vm="entry-$((i + 1))" \
      --failure-domain="${domains[i % ${#domains[@]}]}" --http-address="$host:$((7100 + i))" \
      --peer-address="$host:$((7200 + i))" --platform="$host:7000"
  done
  CUMINMOOR_ENTRIES=$(IFS=,; echo "${addresses[*]}")
  export CUMINMOOR_ENTRIES
}

start_machines() { # failure domain, its number
  start "workers-$1" "$build/tests/standins/standin_worker" --http="$host:$((8000 + $2 * 100))" \
    --prefix="worker-$1-" --count="$(share "$WORKERS" "$2")" --failure-domain="$1" \
    --platform="$host:7000" --rack-size="$WORKERS_PER_RACK" \
    --milli-cores="$WORKER_MILLI_CORES" --memory-mib="$WORKER_MEMORY_MIB"
  start "runners-$1" "$build/tests/standins/standin_runner" --http="$host:$((9000 + $2 * 100))" \
    --prefix="runner-$1-" --count="$(share "$RUNNERS" "$2")" --failure-domain="$1" \
    --platform="$host:7000" --service="$SERVICE" --slots="$SLOTS" --service-ms="$SERVICE_MS"
  wait_for_line "workers-$1" event=ready
  wait_for_line "runners-$1" event=ready
}

# Repeats a command that may come too early until it succeeds.
until_ok() {
  for _ in $(seq 100); do
    "$@" >"$logs/ctl.log" 2>&1 && return
    sleep 0.1
  done
  fault "$*: $(cat "$logs/ctl.log")"
}

send_requests() {
  local i answered=0 answer
  for ((i = 1; i <= REQUESTS; ++i)); do
    answer=$("$ctl" service request "$SERVICE" --caller=desk --request-id="quote-$i" \
      --body="cloth $i" 2>>"$logs/requests.log")
    if [[ $answer == "echo:desk/quote-$i:cloth $i" ]]; then
      answered=$((answered + 1))
    fi
  done
  echo "requests answered: $answered of $REQUESTS"
  ((answered == REQUESTS)) || fault "not every request got its own answer; see $logs/requests.log"
}

run_job() {
  "$ctl" job submit renders --team="$TEAM" --caller=desk --tasks="$JOB_TASKS" \
    --milli-cores=1000 --memory-mib=1024 --run-time-ms=500 --command="run 500" \
    --wait --wait-limit-ms=60000 || fault "the job did not finish"
  "$ctl" job list --prefix=renders
}

echo "deployment $deployment: $ENTRY_VMS entry VMs, $RUNNERS runners and $WORKERS workers in ${domains[*]}"
start_deployment
until_ok "$ctl" service create "$SERVICE" --team="$TEAM"
until_ok "$ctl" preset use peak --wait --wait-limit-ms=10000
until_ok "$ctl" service request "$SERVICE" --caller=demo --request-id="warm-up" --idempotent
send_requests
run_job
"$ctl" domain status
"$ctl" preset show
stop_all

for log in "$logs"/*.log; do
  grep -h '^event=ended' "$log" | sed "s/^event=ended/$(basename "$log" .log):/"
done
grep -qh 'repeated=[1-9]' "$logs"/runners-*.log && fault "a request ran twice"
started=$(sed -n 's/^event=ended starts=\([0-9]*\).*/\1/p' "$logs"/workers-*.log | awk '{ n += $1 } END { print n + 0 }')
[[ $started == "$JOB_TASKS" ]] || fault "$started starts for $JOB_TASKS tasks"
if ((faults)); then
  echo "demo: $faults faults; logs in $logs" >&2
  exit 1
fi
rm -rf "$logs"
echo "demo: everything as expected"
