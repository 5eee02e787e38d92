#!/usr/bin/env bash
# Measures the overhead of one instance with one worker: compares requests sent directly to an engine
# with requests through the instance. Arguments go to `agatestand bench`, such as --streams 32.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-target/release}
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$work"' EXIT
digest=$(printf %s yew-key | sha256sum | cut -d' ' -f1)
cat >"$work/document.yaml" <<Y
deployment: bench
ranks: [{name: urgent, first_token_ms: 5000, between_tokens_ms: 500, answer_ms: 5000}]
models: [{name: prose, version: "1", context_tokens: 32768, kinds: [{name: draft, rank: urgent}]}]
servers:
  - {name: e1, address: "127.0.0.1:18101", zone: a, engine: {models: [prose], memory_tokens: 10000000, batch: 2000}}
organisations: [{name: yew, models: [prose], keys: [{sha256: "$digest"}]}]
Y
cat >"$work/settings.yaml" <<Y
{instance: bench, zone: a, listen: "127.0.0.1:18001", peer: "127.0.0.1:18002", ops: "127.0.0.1:18003",
 workers: 1, document: "$work/document.yaml"}
Y
"$bin/agatestand" engine --memory 10000000 --batch 2000 --step "${STEP:-2000}" --step-each 0 \
    --deviation 0 --median 100000 127.0.0.1:18101 & pids+=($!)
"$bin/agaterouted" --settings "$work/settings.yaml" --level warn & pids+=($!)
sleep 1
"$bin/agatestand" bench --engine 127.0.0.1:18101 --target 127.0.0.1:18001 --pid "${pids[1]}" \
    --key yew-key --model prose "$@"
