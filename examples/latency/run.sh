#!/usr/bin/env bash
# Measures what entry adds: direct, through the plain pass-through and through entry, alternating
# within one run. Run from the root of the repository after `cargo build --release`.
# Usage: [TARGETS="direct passthrough entry"] examples/latency/run.sh RATE SECONDS [further options
# of `chestnutspur load`]
set -euo pipefail
program=${PROGRAM:-target/release/chestnutspur}
here=examples/latency
logs=$(mktemp -d)
pids=()
stop() {
    kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -r "$logs"
}
trap stop EXIT

start() {
    local name=$1
    shift
    "$program" "$@" >"$logs/$name" 2>"$logs/$name.err" &
    pids+=($!)
    until [ -s "$logs/$name" ]; do
        kill -0 $! || { cat "$logs/$name.err" >&2; exit 1; }
        sleep 0.05
    done
}

start platform standin platform --listen 127.0.0.1:9000 \
    --configuration "$here/configuration.json" --hosts "$here/hosts.json"
start engine standin engine --listen 127.0.0.1:9001 --settings "$here/engine.json"
start rater standin rater --listen 127.0.0.1:9002
start passthrough standin passthrough --listen 127.0.0.1:9003 --to 127.0.0.1:9001
passthrough=$!
start control-1 control --settings "$here/control-1.json"
start control-2 control --settings "$here/control-2.json"
start entry entry --settings "$here/entry.json"
entry=$!
until curl -sf http://127.0.0.1:9200/ready >/dev/null; do sleep 0.1; done

# The first target is what the others are compared with.
compare=--to
options=()
for target in ${TARGETS:-direct passthrough entry}; do
    case $target in
        direct) options+=("$compare" 127.0.0.1:9001 --pid 0) ;;
        passthrough) options+=("$compare" 127.0.0.1:9003 --pid "$passthrough") ;;
        entry) options+=("$compare" 127.0.0.1:9100 --pid "$entry") ;;
        *) echo "TARGETS: direct, passthrough, entry" >&2; exit 2 ;;
    esac
    compare=--compare
done
"$program" load "${options[@]}" --model bench-1 --key demo-latency-bench-key \
    --rate "$1" --seconds "$2" "${@:3}"
