#!/usr/bin/env bash
# Plays the case once. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case=$root/target/review/case-$(basename "$here")
export DAEMON=$root/target/daemon/cuminmoord
if [ ! -x "$case" ] || [ ! -x "$DAEMON" ]; then
  echo "build the deploy file's daemon and review/build.sh first" >&2
  exit 2
fi
FOLDER=$(mktemp -d) || exit 2
export FOLDER
trap 'rm -rf "$FOLDER"' EXIT
cd "$here" || exit 2
# `timeout` is the leader of a process group, to which the entry VMs belong.
timeout --signal=TERM 118 "$case" &
group=$!
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null
[ "$code" -le 1 ] || code=2
exit "$code"
