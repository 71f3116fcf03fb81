#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review. Needs only the packages of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -DASIO_STANDALONE -Ireview/standins)
for unit in http_server store runner client world; do
  g++ "${flags[@]}" -c "review/standins/$unit.cpp" -o "$out/$unit.o" &
done
wait
for case in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" "$out"/{http_server,store,runner,client,world}.o -o "$out/case-$number" &
done
wait
for case in review/[0-9]*/case.cpp; do
  test -x "$out/case-$(basename "$(dirname "$case")")"
done
