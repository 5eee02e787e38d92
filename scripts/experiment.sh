#!/usr/bin/env bash
# Runs one case of the experiment: scripts/experiment.sh DOCUMENT INSTANCES [arguments of agatestand
# compare]. With KILL=S, one instance is killed S seconds after the start.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-target/release}
document=$1
instances=$2
shift 2
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$work"' EXIT
"$bin/agatestand" fleet --step 4000 --step-each 100 --median 150 --deviation 1.0 ${FLEET:-} "$document" & pids+=($!)
targets=()
peers=""
for i in $(seq 1 "$instances"); do
    cat >"$work/$i.yaml" <<Y
{instance: "node-$i", zone: a, listen: "127.0.0.1:$((19000 + i))", peer: "127.0.0.1:$((19100 + i))",
 ops: "127.0.0.1:$((19200 + i))", peers: [$peers], workers: 1, document: "$document"}
Y
    peers="$peers${peers:+, }\"127.0.0.1:$((19100 + i))\""
    "$bin/agaterouted" --settings "$work/$i.yaml" --level warn >/dev/null & pids+=($!)
    targets+=(--target "127.0.0.1:$((19000 + i))")
done
sleep 3
if [ -n "${KILL:-}" ]; then
    (sleep "$KILL"; kill -9 "${pids[2]}") &
fi
"$bin/agatestand" compare --document "$document" "${targets[@]}" "$@"
