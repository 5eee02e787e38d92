#!/usr/bin/env bash
# Measures the time from the acceptance of a configuration change until it is in force on all of five
# instances. Arguments go to `agatestand propagate`, such as --changes 200 --outage-each 10.
# With REPLACE=S, one instance is killed and replaced S seconds after the start.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-target/release}
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$work"' EXIT
platform=127.0.0.1:22999
"$bin/agatestand" platform --reads 2000 --writes 400 $platform & pids+=($!)
ops=()
peers=""
for i in 1 2 3 4 5; do
    cat >"$work/$i.yaml" <<Y
{instance: "node-$i", zone: a, listen: "127.0.0.1:$((22000 + i))", peer: "127.0.0.1:$((22100 + i))",
 ops: "127.0.0.1:$((22200 + i))", peers: [$peers], workers: 1,
 platform: {table: "$platform", objects: "$platform", instances: "$platform"}, telemetry: {level: error}}
Y
    peers="$peers${peers:+, }\"127.0.0.1:$((22100 + i))\""
    "$bin/agaterouted" --settings "$work/$i.yaml" >/dev/null & pids+=($!)
    ops+=(--ops "127.0.0.1:$((22200 + i))")
done
sleep 2
"$bin/agatectl" config apply --table $platform --objects $platform --base 0 examples/huon.yaml
sleep 2
if [ -n "${REPLACE:-}" ]; then
    (
        sleep "$REPLACE"
        kill -9 "${pids[3]}"
        exec "$bin/agaterouted" --settings "$work/3.yaml" >/dev/null
    ) & pids+=($!)
fi
"$bin/agatestand" propagate --platform $platform "${ops[@]}" "$@" examples/huon.yaml
