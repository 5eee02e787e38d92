#!/usr/bin/env bash
# Prints the table of docs/CAPACITY.md: the resources that an instance uses as the numbers of instances,
# organisations, backend servers and requests grow. Everything runs on this machine.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-target/release}
work=$(mktemp -d)
pids=()
all=()
stop() {
    for pid in "${all[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    all=()
    pids=()
}
trap 'stop; rm -rf "$work"' EXIT
platform=127.0.0.1:21999

# start INSTANCES ORGANISATIONS ENGINES MODELS [DOCUMENT]
start() {
    "$bin/agatestand" platform --reads 100000 --writes 100000 $platform & all+=($!)
    document=${5:-$work/document.yaml}
    [ -n "${5:-}" ] || "$bin/agatestand" document --organisations "$2" --engines "$3" --models "$4" >"$document"
    sleep 0.3
    "$bin/agatectl" config apply --table $platform --objects $platform --base 0 "$document" >/dev/null
    ops=()
    peers=""
    for i in $(seq 1 "$1"); do
        cat >"$work/$i.yaml" <<Y
instance: node-$i
zone: a
listen: 127.0.0.1:$((21000 + i))
peer: 127.0.0.1:$((21100 + i))
ops: 127.0.0.1:$((21200 + i))
peers: [$peers]
workers: 1
platform: {table: "$platform", objects: "$platform", instances: "$platform"}
telemetry: {level: error}
Y
        peers="$peers${peers:+, }127.0.0.1:$((21100 + i))"
        "$bin/agaterouted" --settings "$work/$i.yaml" >/dev/null & pids+=($!); all+=($!)
        ops+=(--ops "127.0.0.1:$((21200 + i))")
    done
    sleep 5
}

row() {
    local flags=()
    for pid in "${pids[@]}"; do flags+=(--pid "$pid"); done
    "$bin/agatestand" slopes --label "$1" "${flags[@]}" "${ops[@]}" --platform $platform "${@:2}"
}

head=--head
for n in 2 5 10 20 40; do
    start $n 10 12 1
    row "$n instances, idle" $head
    head=
    stop
done
for organisations in 10 150 1500; do
    start 2 $organisations 12 1
    row "$organisations organisations, idle"
    stop
done
for engines in 12 300 3300; do
    start 2 10 $engines 12
    row "$engines backend servers, none listening"
    stop
done
# The rows by request rate, with the backend servers of examples/huon.yaml and five instances.
for rate in 0 20 40 80; do
    start 5 10 12 1 examples/huon.yaml
    "$bin/agatestand" fleet --step 4000 --step-each 100 --median 150 --deviation 1.0 examples/huon.yaml &
    all+=($!)
    sleep 2
    targets=()
    for i in 1 2 3 4 5; do targets+=(--target "127.0.0.1:$((21000 + i))"); done
    "$bin/agatestand" compare --alone --document examples/huon.yaml "${targets[@]}" --rate $rate \
        --seconds 12 steady >/dev/null &
    sleep 3
    row "$rate generations/s and 30 calls/s, 5 instances"
    wait $! || true
    stop
done
