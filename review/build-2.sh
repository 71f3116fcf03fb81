#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 7 to 10 start, and the cases, into target/review-2.
# Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -DASIO_STANDALONE -Ireview/standins)
cases=(7 8 9 10)
pids=()
for unit in http_server store runner client world; do
  g++ "${flags[@]}" -c "review/standins/$unit.cpp" -o "$out/$unit.o" &
  pids+=($!)
done
for each in "${cases[@]}"; do
  g++ "${flags[@]}" -c "review/$each/case.cpp" -o "$out/case-$each.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for each in "${cases[@]}"; do
  g++ -pthread "$out/case-$each.o" "$out"/{http_server,store,runner,client,world}.o \
    -o "$out/case-$each"
done
