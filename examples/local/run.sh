#!/usr/bin/env bash
# Builds balsamhold, starts stand-ins, two entries and three sidecars on loopback, runs one program of
# model and service calls, prints each answer and the program's account, and stops its processes.
set -euo pipefail
cd "$(dirname "$0")/../.."

cargo build --quiet --locked --workspace --bins
bin=${CARGO_TARGET_DIR:-target}/debug
here=examples/local
logs=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$logs"' EXIT

start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

# Repeats a command until it succeeds, for up to 10 s.
await() {
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "not in time: $*" >&2
  tail -n 5 "$logs"/*.log >&2
  return 1
}

start platform "$bin/standins" platform --address 127.0.0.1:7400 --hosts $here/hosts.json
start engine-1 "$bin/standins" engine --address 127.0.0.1:7401
start engine-2 "$bin/standins" engine --address 127.0.0.1:7402
start service "$bin/standins" service --address 127.0.0.1:7403
for name in entry-a entry-b; do
  start $name "$bin/balsamhold" entry --settings $here/$name.ini
done
for name in sidecar-1 sidecar-2 sidecar-3; do
  start $name "$bin/balsamhold" sidecar --settings $here/$name.ini
done

export BALSAMHOLD_TOKEN=operator-token
ctl() { "$bin/balsamhold" ctl "$@"; }
await curl -fsS http://127.0.0.1:7412/live
await ctl apply --server 127.0.0.1:7412 --base 0 --author example $here/environment.ini
await curl -fsS http://127.0.0.1:7412/ready
await curl -fsS http://127.0.0.1:7422/ready
three_endpoints() { [ "$(ctl status --json --server "$1" | grep -c '"running"')" = 3 ]; }
await three_endpoints 127.0.0.1:7412
await three_endpoints 127.0.0.1:7422

a=http://127.0.0.1:7410
b=http://127.0.0.1:7420
caller() { curl -sS --max-time 10 -H 'authorization: Bearer caller-token' "$@"; }
say() { printf '\n== %s\n' "$*"; }

say 'A program is created at entry-a'
created=$(caller "$a/v1/programs" -d '{"class":"reorder","tokens":20000,"calls":20}')
echo "$created"
program=$(sed -E 's/.*"program":"([^"]+)".*/\1/' <<<"$created")
calls=$a/v1/programs/$program

say 'A model call, streamed'
caller "$calls/calls" -d '{"seq":1,"model":"advisor","input":"Which braid for beeswax? ","max_tokens":16}'
say 'An idempotent service call'
caller "$calls/calls" -d '{"seq":2,"service":"catalogue","input":"wick 7"}'
say 'A stock reservation, at most once'
caller "$calls/calls" -d '{"seq":3,"service":"stock","input":"reserve 2 pallets"}'
say 'The same reservation again, through entry-b: the one answer'
caller "$b/v1/programs/$program/calls" -d '{"seq":3,"service":"stock","input":"reserve 2 pallets"}'
say 'A sub-agent with a budget of its own'
caller "$calls/calls" -d '{"seq":4,"program":{"tokens":2000,"calls":3}}'
say 'The history, read through entry-b'
caller "$b/v1/programs/$program/history"
echo
say 'The end'
caller -X POST "$calls/end"
echo
say 'The account of the program'
ctl explain --server 127.0.0.1:7412 "$program"
