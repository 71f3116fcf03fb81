#!/usr/bin/env bash
# Starts the stand-ins and one entry VM, runs bench_http, ends what it started.
# Usage: bench/bench_http.sh [build folder [rates [seconds [idempotent [service ms]]]]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
rates=${2:-200,500,1000,2000,4000,8000}
seconds=${3:-3}
idempotent=${4:-1}
service_ms=${5:-5}
standins=$build/tests/standins
platform=127.0.0.1:27190
entry=127.0.0.1:27180
first_port=27200
runners=48
logs=$(mktemp -d)
pids=()
trap 'for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait; rm -r "$logs"' EXIT

"$standins/standin_platform" --http $platform 2>"$logs/platform" & pids+=($!)
sleep 0.5
"$standins/standin_runner" --http 127.0.0.1:$first_port --count $runners --prefix r \
  --failure-domain accra-east --platform $platform --service drape-desk \
  --service-ms "$service_ms" 2>"$logs/runner" & pids+=($!)
"$build/daemon/cuminmoord" --vm e1 --failure-domain accra-east --http-address $entry \
  --peer-address 127.0.0.1:27181 --platform $platform 2>"$logs/daemon" & pids+=($!)
until curl -sf http://$entry/readyz >/dev/null; do sleep 0.2; done
sleep 2
addresses=$(seq -s, -f "127.0.0.1:%.0f" $first_port $((first_port + runners - 1)))
"$build/bench/bench_http" drape-desk $entry "$addresses" "$rates" "$seconds" "$idempotent"
